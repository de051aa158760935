Feature: Callers speak the OpenAI-compatible API

  Scenario: A stock client streams and gets the whole answer
    Given a site of 2 daemons and 2 engines
    When a stock client streams 24 tokens
    And a stock client asks for 24 tokens in one answer
    And a stock client chats for 24 tokens
    Then all three texts are the same and whole
    And the stock client sees the models of the contract

  Scenario Outline: A refused request says why and that it was not run
    Given a site of 1 daemon and 1 engine
    When a caller makes the mistake of <mistake>
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

  Scenario: A body over the size limit or cut short harms nobody
    Given a site of 1 daemon and 1 engine
    When a caller sends 20 million bytes
    And a caller closes its connection in the middle of its body
    Then a good request still succeeds

  Scenario: A resume token works for its own organisation only
    Given a site of 1 daemon and 1 engine
    And another organisation "co-op"
    When a caller streams 8 tokens
    And "co-op" tries to resume the stream
    Then it is refused with resume_refused, a remedy and ran "no"

  Scenario: A caller that goes away frees the engine
    Given a site of 1 daemon and 1 engine
    When a caller closes its connection after the first token of 4000
    Then the engine holds no memory

  Scenario: The trace goes on to the engine and the balancer sees readiness
    Given a site of 1 daemon and 1 engine
    Then the pages for balancer and operators answer
