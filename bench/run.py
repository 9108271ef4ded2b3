"""Runs every benchmark and writes its figures."""


def main() -> None:
    """Run all benchmarks."""


if __name__ == "__main__":
    main()
