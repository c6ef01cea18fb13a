"""Published files: read strictly, accepted whole, ordered by the platform's revision."""

from sparline.declarations._acceptance import Declaration, accept_file
from sparline.declarations._catalog import Catalog, build_catalog
from sparline.declarations._records import Record, RecordStore, RecordVerdict, RefusedRecord
from sparline.declarations._strict_json import MAX_DOCUMENT_BYTES, Refusal, convert, parse

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Catalog",
    "Declaration",
    "Record",
    "RecordStore",
    "RecordVerdict",
    "Refusal",
    "RefusedRecord",
    "accept_file",
    "build_catalog",
    "convert",
    "parse",
]
