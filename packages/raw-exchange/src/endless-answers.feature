Feature: Bytes without end are cut off at a bound

  # Each row guards against a target that sends bytes which Node's parser accepts without end: they occupied the box until the
  # request's deadline, with 100 MB read in 1.5 s.
  Scenario Outline: An answer with <bytes> without end is cut off
    Given a target that sends <bytes> without end
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target fails after at most 600000 bytes
    And all others are complete, each within 500 ms

    Examples:
      | bytes                             |
      | empty lines before the head       |
      | informational responses           |
      | a header line                     |
      | headers                           |
      | blanks before a header's value    |
      | a chunk size of zeros             |
      | a chunk extension                 |
      | an extension of each chunk        |
      | trailers                          |

  # Guards against a complete answer being lost for bytes behind it, and against reading these.
  Scenario Outline: An answer framed by <framing> with bytes without end behind it is complete, <reads>
    Given a target that sends an answer framed by <framing> and then bytes without end, in <reads>
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target is complete with its body, after at most 600000 bytes
    And all others are complete, each within 500 ms

    Examples:
      | framing   | reads     |
      | length    | one read  |
      | length    | two reads |
      | chunked   | one read  |
      | chunked   | two reads |
      | no body   | one read  |
      | no body   | two reads |

  Scenario: Bytes behind an answer in the same read are reported
    Given a target that sends an answer framed by length and then bytes without end, in one read
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target reports bytes behind the answer

  # Guards against heads within the bound being cut: Node's default allows 16 KiB.
  Scenario: A head of 48 KiB is read
    Given a target that answers with a head of 49152 bytes
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target is complete with its body, after at most 600000 bytes

  # Guards against the bound on framing cutting streams whose events come byte by byte, each in a chunk.
  Scenario: A body of 100000 chunks of one byte is read
    Given a target that answers with 100000 chunks of one byte
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target is complete with its body, after at most 2500000 bytes

  # Guards against the processor time of each chunk, which is the same for one byte as for thousands.
  Scenario: A body of chunks of one byte without end is cut off
    Given a target that sends chunks of one byte without end
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target fails after at most 420000 bytes of its body
    And all others are complete, each within 500 ms

  # Guards against work for each chunk in what handles a body: the box was blocked for seconds.
  Scenario: The chunks of a read are delivered together
    Given a target that answers with 100000 chunks of one byte
    When 4 requests are sent there, beside 40 to a target that answers well
    Then each exchange with the first target got its body in at most 200 parts
    And all others are complete, each within 500 ms

  # Guards against the pause between long reads ending the pause of a listener that cannot take more.
  Scenario: A listener that has paused an answer in short chunks gets no more of it
    Given a target that answers with 100000 chunks of one byte
    When a listener pauses at the first part and resumes after 200 ms
    Then it got nothing in between, and the whole body in the end
