"""Schemas of the request bodies of the operator API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mulberrypass.model.fault import Source
from mulberrypass.model.load import RawDocument

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Request

MAX_DOCUMENTS = 50_000
MAX_MESSAGE_CHARS = 1_000
M = TypeVar("M", bound=BaseModel)


class SentDocument(BaseModel):
    """One document and its location in the operator's files."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    file: str = ""
    line: int = 0
    content: Any = None

    def to_raw(self) -> RawDocument:
        """Return the document for validation."""
        return RawDocument(Source(self.file, self.line), self.content)


class CheckBody(BaseModel):
    """A complete set of documents to validate."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    documents: Annotated[
        tuple[SentDocument, ...], Field(max_length=MAX_DOCUMENTS)
    ]

    def raw_documents(self) -> tuple[RawDocument, ...]:
        """Return the documents for validation."""
        return tuple(document.to_raw() for document in self.documents)


class SubmitBody(CheckBody):
    """A complete set of documents to publish."""

    base_generation: Annotated[int, Field(ge=0)]
    submit_id: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    message: Annotated[str, Field(max_length=MAX_MESSAGE_CHARS)] = ""


def read_body(req: Request, body: type[M]) -> Result[M, str]:
    """Parse the JSON body of a request, or return what is wrong with it."""
    data = req.body.read(req.body_bytes)
    if len(data) < req.body_bytes:
        return Error("the body is cut off")
    try:
        return Ok(body.model_validate_json(data))
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        return Error(f"{path}: {first['msg']}" if path else first["msg"])


__all__ = ["CheckBody", "SentDocument", "SubmitBody", "read_body"]
