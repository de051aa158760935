Feature: A response that breaks off inside its head is no response

  Guards against a head that ends with its connection and is taken for a whole one, with an empty or
  short body.

  Scenario Outline: A <reader> refuses a response that ends <place>
    Given a server that closes its connection <place>
    Then a <reader> reports that it got no whole response

    Examples: Services
      | reader  | place                             |
      | service | in its status line                |
      | service | after its status line             |
      | service | in the name of a header           |
      | service | in the value of a header          |
      | service | after a header                    |
      | service | in the value of its length        |
      | service | after its length                  |
      | service | before the blank line             |
      | service | in the head after an interim one  |

    Examples: The platform's store and peers
      | reader | place                      |
      | store  | in the name of a header    |
      | store  | after a header             |
      | store  | in the value of its length |
      | peer   | after its status line      |
      | peer   | before the blank line      |

  # Guards against a service whose process ends in the middle of a response without a length.
  Scenario Outline: A service's response without a length is <verdict> where its process <state>
    Given a service that answers without a length and then <state>
    Then its response is <verdict>

    Examples: What the process does
      | state    | verdict |
      | goes on  | whole   |
      | has gone | refused |
