"""Output of commands, separated from log lines in the same process."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import pytest

DOCUMENT = re.compile(r'^[\[{]$.*?^[\]}]$', re.MULTILINE | re.DOTALL)


def read_document(capsys: pytest.CaptureFixture[str]) -> Any:
    """Read the JSON document printed since the output was last read."""
    (found,) = DOCUMENT.findall(capsys.readouterr().out)
    return json.loads(found)
