"""Databases and groups that operators declare, and reported servers."""

from jackdawcrank_policy.catalog.account_spec import AccountSpec
from jackdawcrank_policy.catalog.consistency import Consistency
from jackdawcrank_policy.catalog.database_spec import DatabaseSpec
from jackdawcrank_policy.catalog.declarations import Declarations
from jackdawcrank_policy.catalog.listed_server import ListedServer
from jackdawcrank_policy.catalog.served_group import ServedGroup

__all__ = [
    "AccountSpec",
    "Consistency",
    "DatabaseSpec",
    "Declarations",
    "ListedServer",
    "ServedGroup",
]
