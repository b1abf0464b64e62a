Feature: A box that holds too many request bodies refuses further ones, and says when there is room

  # Each guards against a box whose memory runs out because its targets are slower than its callers send.
  Scenario Outline: Bodies beyond the bound are refused before they are handled, <framing>
    Given a front with a bound of 1000000 held bytes whose handler takes 400 ms
    When 10 callers send bodies of 300000 bytes framed by <framing>, beside 20 requests without a body
    Then at most 3 of the bodies were handled, at least 2, and the others were refused with 503 and a Retry-After
    And the requests without a body were all answered within 1000 ms
    And at most 1000000 bytes were held
    When one more caller sends a body of 300000 bytes framed by <framing>
    Then it is answered, and nothing is held afterwards

    Examples:
      | framing |
      | length  |
      | chunked |

  # Guards against callers that announce large bodies and send nothing, which would take the room of all others.
  Scenario: Bodies that are announced and not sent take no room
    Given a front with a bound of 1000000 held bytes whose handler takes 10 ms
    When 50 callers announce bodies of 900000 bytes and send 100 bytes of them
    And one more caller sends a body of 300000 bytes framed by length
    Then it is answered, and nothing is held afterwards but 5000 bytes

  # Guards against callers that stop inside large bodies and keep all others out.
  Scenario Outline: Bodies that stop give way to one that arrives, <framing>
    Given a front with a bound of 1000000 held bytes whose handler takes 10 ms
    When 3 callers announce bodies of 330000 bytes and send 320000 bytes of them
    And one more caller sends a body of 200000 bytes framed by <framing>
    Then it is answered, and nothing is held afterwards but 640000 bytes

    Examples:
      | framing |
      | length  |
      | chunked |
