Feature: No request hides behind a header section that ends at a lone carriage return

  # Guards against request smuggling: a proxy before the box takes for one head what the parser takes for two requests.
  Scenario Outline: A request hidden behind a header section that ends at a lone CR is not run, <where>, <packets>
    Given a server that answers each request with its path and body
    When a client sends a hidden request behind <where>, <packets>
    Then the client gets the statuses "<statuses>" and its connection is closed
    And the requests for "<paths>" were begun

    Examples:
      | where                               | packets               | statuses | paths |
      | a head without a body               | at once               | 400      |       |
      | a head without a body               | in packets of 1 byte  | 400      |       |
      | a head without a body               | in packets of 7 bytes | 400      |       |
      | a head with a length behind its end | at once               | 400      |       |
      | a head that asks to continue        | at once               | 100 400  |       |
      | a head that expects something else  | at once               | 400      |       |
      | a second head                       | at once               | 200      | /1    |
      | a second head                       | in packets of 1 byte  | 200      | /1    |
      | trailers                            | at once               | 200      | /1    |
      | trailers                            | in packets of 1 byte  | 200      | /1    |
      | a last chunk                        | at once               | 200      | /1    |
      | a last chunk                        | in packets of 1 byte  | 200      | /1    |

  # Guards against a second report of the same bytes, at which fronts close the connection, whether or not the rejection is sent.
  Scenario: Bytes that are no request are rejected once, whatever is read behind them
    Given a server that answers each request with its path and body
    When a client sends a head that is none, and 10 requests behind it
    Then its connection was rejected once, and no request was begun

  # Guards against connections that stay open for good since the parser waits for nothing on them.
  Scenario: A connection whose client does not close it is closed behind the rejection
    Given a server that answers each request with its path and body
    When a client sends a hidden request and goes on reading
    Then its connection is closed by the server

  # Guards against a check that changes what callers send.
  Scenario Outline: Requests with lone CRs in their bodies pass as they are, <packets>
    Given a server that answers each request with its path and body
    When a client sends 6 requests on one connection whose bodies have lone CRs in all places, <packets>
    Then each of them was begun with its body

    Examples:
      | packets                  |
      | at once                  |
      | in packets of 1 byte     |
      | in packets of 3 bytes    |
      | in packets of 1021 bytes |

  # Guards against heads that end inside a slice, where the parser may have begun a request behind them.
  Scenario: Slices end with the heads of requests, whatever their bodies and reads
    Then the slices of any requests in any reads end with their heads, and a byte behind a lone CR in a head ends one

  # Guards against bodies whose bytes are parsed one by one.
  Scenario Outline: A body of lone CRs is parsed in few slices, <framing>
    When the bytes of a request with 90000 bytes of lone CRs are cut into slices, <framing>
    Then there are at most 5 slices

    Examples:
      | framing        |
      | with a length  |
      | in one chunk   |
