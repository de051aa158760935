Feature: Callers use the OpenAI-compatible API

  Scenario: The OpenAI client receives complete answers, streamed or not
    Given a site of 2 daemons and 2 engines
    When an OpenAI client streams 24 tokens
    And an OpenAI client requests 24 tokens without streaming
    And an OpenAI client requests a chat completion of 24 tokens
    Then all three texts are equal and complete
    And the OpenAI client lists the models of the contract

  Scenario Outline: The error for an invalid request gives the reason and says that it did not run
    Given a site of 1 daemon and 1 engine
    When a caller sends a request with <mistake>
    Then it is refused with <code>, a remedy and ran "no"
    And a good request still succeeds

    Examples:
      | mistake                      | code              |
      | malformed JSON               | invalid_request   |
      | a list instead of an object  | invalid_request   |
      | a prompt that is a number    | invalid_request   |
      | no API key                   | unknown_api_key   |
      | an unknown API key           | unknown_api_key   |
      | an unknown model             | unknown_model     |
      | a timeout that is no number  | invalid_request   |
      | a timeout that is infinite   | invalid_request   |
      | a prompt no engine can hold  | prompt_too_long   |
      | an answer over the contract  | prompt_too_long   |
      | a forged resume token        | resume_refused    |
      | a garbled resume token       | resume_refused    |
      | an event id that is no index | invalid_request   |
      | an unknown path              | invalid_request   |
      | a key of 300 characters      | invalid_request   |

  Scenario: An oversized or truncated body does not affect later requests
    Given a site of 1 daemon and 1 engine
    When a caller sends a body of 20 million bytes
    And a caller closes its connection before its body is complete
    Then a good request still succeeds

  Scenario: A resume token is valid for its own organisation only
    Given a site of 1 daemon and 1 engine
    And another organisation "co-op"
    When a caller streams 8 tokens
    And "co-op" tries to resume the stream
    Then it is refused with resume_refused, a remedy and ran "no"

  Scenario: A caller that disconnects frees the engine's memory
    Given a site of 1 daemon and 1 engine
    When a caller closes its connection after the first token of 4000
    Then the engine holds no memory

  Scenario: The routes for load balancers and operators answer
    Given a site of 1 daemon and 1 engine
    Then the readiness, health, metrics, explain and held routes answer
