"""Pydantic models of the OpenAI-compatible request bodies."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brassdrum.errors import InvalidRequestError

__all__ = ["ChatRequest", "CompletionRequest", "parse_chat", "parse_completion"]

_DEFAULT_MAX_ANSWER_TOKENS = 256


class _GenerationRequest(BaseModel):
    model_config = ConfigDict(extra="allow")

    model: str
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None

    @property
    def answer_tokens(self) -> int:
        """The maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or _DEFAULT_MAX_ANSWER_TOKENS


class CompletionRequest(_GenerationRequest):
    """The body of ``POST /v1/completions``."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the prompt as plain text, for token estimates and prefix matching."""
        return self.prompt


class _ContentPart(BaseModel):
    model_config = ConfigDict(extra="allow")

    type: str
    text: str = ""


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[_ContentPart] | None = None

    def text(self) -> str:
        """Return the role and the text content, separated by newlines."""
        if self.content is None:
            return self.role
        if isinstance(self.content, str):
            return f"{self.role}\n{self.content}"
        return "\n".join([self.role, *(part.text for part in self.content)])


class ChatRequest(_GenerationRequest):
    """The body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[_Message], Field(min_length=1)]

    def prompt_text(self) -> str:
        """Return the prompt as plain text, for token estimates and prefix matching."""
        return "\n".join(message.text() for message in self.messages)


def _validation_error(error: ValidationError) -> InvalidRequestError:
    detail = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in detail["loc"]) or "body"
    return InvalidRequestError(f"{location}: {detail['msg']}.")


def parse_completion(body: bytes) -> CompletionRequest:
    """Parse and validate a completion request, or raise ``InvalidRequestError``."""
    try:
        return CompletionRequest.model_validate_json(body)
    except ValidationError as error:
        raise _validation_error(error) from error


def parse_chat(body: bytes) -> ChatRequest:
    """Parse and validate a chat request, or raise ``InvalidRequestError``."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        raise _validation_error(error) from error
