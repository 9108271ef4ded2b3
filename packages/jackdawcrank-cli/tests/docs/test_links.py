"""Tests that documentation pages are linked and relative links resolve."""

import pathlib
import re
from urllib.parse import unquote

import pytest

ROOT = pathlib.Path(__file__).parents[4]
DOCS = ROOT / "docs"
PAGES = sorted([*ROOT.glob("*.md"), *DOCS.rglob("*.md")])
FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
CODE = re.compile(r"`[^`\n]+`")
LINK = re.compile(r"!?\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)


def prose(page: pathlib.Path) -> str:
    """Return a page without its code blocks."""
    return FENCE.sub("", page.read_text(encoding="utf-8"))


def relative_links(page: pathlib.Path) -> list[str]:
    """Return the targets of a page's links into the repository."""
    targets = LINK.findall(CODE.sub("", prose(page)))
    return [unquote(target) for target in targets if "://" not in target]


def anchors(page: pathlib.Path) -> set[str]:
    """Return the anchors of a page's headings."""
    return {
        re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-")
        for heading in HEADING.findall(prose(page))
    }


def linked_pages(page: pathlib.Path) -> set[pathlib.Path]:
    """Return the files that a page links."""
    paths = (target.partition("#")[0] for target in relative_links(page))
    return {(page.parent / path).resolve() for path in paths if path}


def test_pages_are_found() -> None:
    assert ROOT / "README.md" in PAGES
    assert DOCS / "operating" / "index.md" in PAGES


@pytest.mark.parametrize(
    "page", PAGES, ids=lambda page: str(page.relative_to(ROOT))
)
def test_relative_links_resolve(page: pathlib.Path) -> None:
    for target in relative_links(page):
        path, _, anchor = target.partition("#")
        linked = (page.parent / path).resolve() if path else page
        assert linked.exists(), target
        if anchor:
            assert anchor in anchors(linked), target


def test_the_operators_index_links_every_operators_page() -> None:
    index = DOCS / "operating" / "index.md"
    pages = set(index.parent.glob("*.md")) - {index}
    assert pages - linked_pages(index) == set()


def test_the_index_links_every_page_and_decision() -> None:
    index = DOCS / "index.md"
    pages = set(DOCS.glob("*.md")) - {index}
    pages |= set(DOCS.glob("decisions/*.md"))
    assert pages - linked_pages(index) == set()
