"""Sites that are made from another one: `deploy/sites/replace_tenants.py`."""

from __future__ import annotations

import runpy
import tomllib
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "deploy" / "sites"
SITE = """name = "somewhere"
wire = "wire.json"

[load]
quiet = [0.3, 0.4]

[[tenant]]
name = "one"
share = 0.6

[[tenant]]
name = "two"
share = 0.4

[[trouble]]
name = "crash"
"""


def test_a_site_with_47_tenants_is_the_site_but_for_them() -> None:
    replace = runpy.run_path(str(FOLDER / "replace_tenants.py"))["replace_tenants"]
    tenants = (FOLDER / "tenants-47.toml").read_text()
    made, before = tomllib.loads(replace(SITE, tenants, "other")), tomllib.loads(SITE)
    assert made["name"] == "other" and len(made["tenant"]) == 47
    assert abs(sum(tenant["share"] for tenant in made["tenant"]) - 1.0) < 1e-9
    assert {key: value for key, value in made.items() if key not in ("name", "tenant")} == {
        key: value for key, value in before.items() if key not in ("name", "tenant")
    }
