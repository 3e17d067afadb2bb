"""Structured logs through loguru, as text or JSON lines."""

import sys

import orjson
from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[process]} {message}"


def setup_logs(process: str, log_format: str, level: str) -> None:
    """Send log lines to standard error; `log_format` is 'text' or 'json'."""
    logger.remove()
    logger.configure(extra={"process": process})
    if log_format == "json":
        logger.add(_write_json, level=level)
    else:
        logger.add(sys.stderr, level=level, format=_format_text, colorize=False)  # type: ignore[arg-type]


def log_info(event: str, **fields: object) -> None:
    """Log a change of state."""
    logger.bind(**fields).info(event)


def log_warning(event: str, **fields: object) -> None:
    """Log a fault that may need an operator."""
    logger.bind(**fields).warning(event)


def _fields(extra: dict) -> dict:
    return {key: value for key, value in extra.items() if key != "process"}


def _format_text(record: dict) -> str:
    # loguru formats the returned template with the record. Field values are passed through
    # `extra`, since braces in the template itself would be interpreted.
    pairs = " ".join(f"{key}={{extra[{key}]!s}}" for key in _fields(record["extra"]))
    return TEXT_FORMAT + (" " + pairs if pairs else "") + "\n{exception}"


def _write_json(message: object) -> None:
    record = message.record  # type: ignore[attr-defined]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "process": record["extra"].get("process"),
        "event": record["message"],
        **_fields(record["extra"]),
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(orjson.dumps(line, default=str).decode() + "\n")
