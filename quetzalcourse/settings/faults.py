"""Validation errors of settings and manifests, as operators see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError


@dataclass(frozen=True, slots=True)
class SettingFault:
    """One validation error of a file.

    :param file: path of the file.
    :param key: dotted name of the key, empty for the whole file.
    :param reason: error message.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Format the error as one line."""
        place = f'{self.file}: {self.key}' if self.key else self.file
        return f'{place}: {self.reason}'


def list_faults(file: str, error: ValidationError) -> list[SettingFault]:
    """Convert the errors of a failed validation.

    :param file: path of the file.
    """
    return [
        SettingFault(
            file,
            '.'.join(str(part) for part in detail['loc']),
            detail['msg'],
        )
        for detail in error.errors(include_input=False)
    ]
