"""Prints a site of the bench with other tenants: `python replace_tenants.py SITE TENANTS NAME`.

SITE is a site file, TENANTS one that holds nothing but `[[tenant]]` tables, NAME the new site's name.  The
site's own `[[tenant]]` tables are left out; all else stays as it is, line by line."""

from __future__ import annotations

import sys
from pathlib import Path


def replace_tenants(site: str, tenants: str, name: str) -> str:
    """The text of `site` with the tables of `tenants` and its first `name = ...` replaced."""
    kept: list[str] = []
    named = within_tenant = False
    for line in site.splitlines():
        if line.startswith("["):
            within_tenant = line.strip() == "[[tenant]]"
        if within_tenant:
            continue
        if line.startswith("name = ") and not named:
            line, named = f'name = "{name}"', True
        kept.append(line)
    return "\n".join(kept) + "\n\n" + tenants


def main() -> None:
    """The command line."""
    site, tenants, name = sys.argv[1:4]
    sys.stdout.write(replace_tenants(Path(site).read_text(), Path(tenants).read_text(), name))


if __name__ == "__main__":
    main()
