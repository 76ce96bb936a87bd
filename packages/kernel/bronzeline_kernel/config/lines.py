"""Find the line number of a key in a settings file."""

from __future__ import annotations

import re

__all__ = ["find_line"]

STRING_OR_COMMENT = re.compile(
    r"""(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')|//[^\n]*|/\*.*?\*/""", re.DOTALL
)
NOT_NEWLINE = re.compile(r"[^\n]")


def find_line(text: str, path: str) -> int | None:
    """Return the line of the deepest key on a path that the text has, or None."""
    code = STRING_OR_COMMENT.sub(_blank_comment, text)
    position = 0
    line: int | None = None
    for part in path.strip("/").split("/"):
        pattern = rf"""(?<![\w$])["']?{re.escape(part)}["']?\s*:"""
        found = re.compile(pattern).search(code, position)
        if found is None:
            return line
        position = found.end()
        line = code.count("\n", 0, found.start()) + 1
    return line


def _blank_comment(match: re.Match[str]) -> str:
    if match["string"] is not None:
        return match[0]
    return NOT_NEWLINE.sub(" ", match[0])
