"""Validated models of the OpenAI-compatible requests that callers send."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brassdrum.errors import InvalidRequestError

__all__ = ["ChatRequest", "CompletionRequest", "parse_chat", "parse_completion"]

_DEFAULT_ANSWER_TOKENS = 256


class _Generation(BaseModel):
    model_config = ConfigDict(extra="allow")

    model: str
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None

    @property
    def answer_tokens(self) -> int:
        """Return the most tokens that the answer may have."""
        return self.max_completion_tokens or self.max_tokens or _DEFAULT_ANSWER_TOKENS


class CompletionRequest(_Generation):
    """Hold ``POST /v1/completions``."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the text that the engine prefills."""
        return self.prompt


class _Part(BaseModel):
    model_config = ConfigDict(extra="allow")

    type: str
    text: str = ""


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[_Part] | None = None

    def text(self) -> str:
        """Return the role and the text of all parts."""
        if self.content is None:
            return self.role
        if isinstance(self.content, str):
            return f"{self.role}\n{self.content}"
        return "\n".join([self.role, *(part.text for part in self.content)])


class ChatRequest(_Generation):
    """Hold ``POST /v1/chat/completions``."""

    messages: Annotated[list[_Message], Field(min_length=1)]

    def prompt_text(self) -> str:
        """Return the text that the engine prefills."""
        return "\n".join(message.text() for message in self.messages)


def _invalid(error: ValidationError) -> InvalidRequestError:
    detail = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in detail["loc"]) or "body"
    return InvalidRequestError(f"{place}: {detail['msg']}.")


def parse_completion(body: bytes) -> CompletionRequest:
    """Return a validated completion request, or raise ``InvalidRequestError``."""
    try:
        return CompletionRequest.model_validate_json(body)
    except ValidationError as error:
        raise _invalid(error) from error


def parse_chat(body: bytes) -> ChatRequest:
    """Return a validated chat request, or raise ``InvalidRequestError``."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        raise _invalid(error) from error
