"""Callers that log in, stay idle or send statements."""

import asyncio
import concurrent.futures
from typing import Any

import pymysql

from slopes_parts.remote import serve

THREADS = 8
SQL = "SELECT plot, carbon FROM samples WHERE id = 7"

connections: list[Any] = []


async def open_connections(request: dict[str, Any]) -> dict[str, Any]:
    """Log in until there are as many connections as asked."""
    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        loop = asyncio.get_running_loop()
        missing = request["count"] - len(connections)
        connections.extend(
            await asyncio.gather(
                *(
                    loop.run_in_executor(threads, connect, request["port"])
                    for _ in range(missing)
                )
            )
        )
    return {"open": len(connections)}


def connect(port: int) -> Any:
    """Log in once."""
    return pymysql.connect(
        host="127.0.0.1",
        port=port,
        user="app",
        password="app-password",
        database="soil",
        autocommit=True,
        ssl_disabled=True,
    )


async def run_statements(request: dict[str, Any]) -> dict[str, Any]:
    """Send statements on some connections at once."""
    share = request["count"] // THREADS
    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *(
                loop.run_in_executor(threads, query, connection, share)
                for connection in connections[:THREADS]
            )
        )
    return {"ran": share * THREADS}


def query(connection: Any, count: int) -> None:
    """Send statements one after the other."""
    with connection.cursor() as cursor:
        for _ in range(count):
            cursor.execute(SQL)
            cursor.fetchall()


if __name__ == "__main__":
    asyncio.run(serve({"open": open_connections, "run": run_statements}))
