Feature: Answers to callers that read slowly are held up to one bound

  # Guards against a target that aborts an answer since nobody reads it, although the box has room for it.
  Scenario: An answer is read from its target at once, however late its caller reads
    Given a box with a bound of 20000000 held bytes
    And a target whose answers have 6000000 bytes, framed by length
    When 1 caller asks that starts to read after 1500 ms
    Then the target had sent each answer within 1000 ms
    And each caller receives 6000000 bytes, complete
    And at most 20000000 bytes were held, and none at the end

  # Guards against memory growing with the number of slow callers, and against them costing other callers time.
  Scenario Outline: Many slow callers are held back within the bound, beside others, <framing>
    Given a box with a bound of 20000000 held bytes
    And a target whose answers have 6000000 bytes, framed by <framing>
    When 12 callers ask that start to read after 1500 ms
    And 100 requests for answers of 2 bytes are sent meanwhile
    Then these are all answered, each within 300 ms
    And each caller receives 6000000 bytes, complete
    And at most 20000000 bytes were held, and none at the end

    Examples:
      | framing |
      | length  |
      | chunked |
      | close   |

  # Guards against callers that never read holding the room of those that do.
  Scenario Outline: At the bound the answers of callers that read nothing end, and no caller takes them for complete, <framing>
    Given a box with a bound of 8000000 held bytes
    And a target whose answers have 12000000 bytes, framed by <framing>
    When 6 callers ask that never read
    And 2000 ms later bodies of 6000000 bytes arrive
    And 100 requests for answers of 2 bytes are sent meanwhile
    Then these are all answered, each within 300 ms
    And the bodies found room
    And some callers that never read have no complete answer, and see that
    And at most 8000000 bytes were held, and none at the end

    Examples:
      | framing |
      | length  |
      | chunked |
      | close   |

  # Guards against a body without an end that is read beyond the deadline, or whose bytes fill the box.
  Scenario Outline: An endless body <rate> ends at the deadline, for a caller that <reads>
    Given a box with a bound of 8000000 held bytes
    And a target whose answers never end, <rate>
    When 1 caller asks that <reads>, with a deadline of 1200 ms
    And 100 requests for answers of 2 bytes are sent meanwhile
    Then these are all answered, each within 300 ms
    And no caller has a complete answer, and each exchange ended within 2200 ms
    And at most 8000000 bytes were held, and none at the end

    Examples:
      | rate               | reads         |
      | as fast as read    | reads at once |
      | as fast as read    | never reads   |
      | one byte at a time | reads at once |
      | one byte at a time | never reads   |
