"""Command-line names of resource kinds."""

import click

from jackdawcrank_policy.configuration import RESOURCE_KINDS, Kind

ALIASES = {
    "group": Kind.DATABASE_GROUP,
    "groups": Kind.DATABASE_GROUP,
    "server": Kind.BACKEND_SERVER,
    "servers": Kind.BACKEND_SERVER,
    "class": Kind.CALLER_CLASS,
    "classes": Kind.CALLER_CLASS,
    **{kind.lower(): kind for kind in RESOURCE_KINDS},
    **{f"{kind.lower()}s": kind for kind in RESOURCE_KINDS},
}


class KindType(click.ParamType[Kind]):
    """Parameter type for a resource kind or one of its aliases."""

    name = "kind"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Kind:
        """Return the kind for a name or alias, ignoring case."""
        kind = ALIASES.get(value.lower())
        if kind is None:
            names = ", ".join(RESOURCE_KINDS)
            self.fail(f"{value!r} is none of {names}", param, ctx)
        return kind


KIND = KindType()
