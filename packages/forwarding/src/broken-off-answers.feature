Feature: An answer that was broken off is not complete for its caller, whatever its status, route and caller

  # Each target ends its connection in order, without a reset.
  Scenario Outline: A stream that ends inside an event is broken off, <what>
    Given a <route> route whose target sends "<answer>"
    When a caller asks by HTTP/1.1
    Then the answer is not complete for the caller

    Examples:
      | what                              | route     | answer                       |
      | status 200                        | streaming | 200 cut stream               |
      | status 201 on a streaming route   | streaming | 201 cut stream               |
      | on a plain route                  | plain     | 200 cut stream               |
      | beyond the buffer, plain route    | plain     | 200 large cut stream         |

  Scenario Outline: A stream that has begun is not completed by an answer that is no stream, <what>
    Given a streaming route whose target sends "200 cut stream"
    And another target that sends "<answer>"
    When a caller asks by HTTP/1.1
    Then the answer is not complete for the caller

    Examples:
      | what                    | answer          |
      | a small failure         | 500 small plain |
      | a large failure         | 500 large plain |
      | a large plain answer    | 200 large plain |

  # The first target was cut inside event 3, so a stream that ends without an event beyond 2 lacks it.
  Scenario Outline: A stream cut inside an event is not completed by a resumed one that ends before it, <what>
    Given a streaming route whose target sends "200 cut stream"
    And another target that sends "<answer>"
    When a caller asks by HTTP/1.1
    Then the answer is not complete for the caller

    Examples:
      | what             | answer             |
      | without an event | 200 empty stream   |
      | after event 1    | 200 shorter stream |

  # Without an id there is no place from which another target could go on.
  Scenario: A stream without ids is not begun again after a part of it has reached its caller
    Given a streaming route whose target sends "200 cut stream without ids"
    And another target that sends "200 stream without ids"
    When a caller asks by HTTP/1.1
    Then the answer is not complete for the caller

  Scenario: A whole stream with a content encoding is complete
    Given a streaming route whose target sends "200 gzip stream"
    When a caller asks by HTTP/1.1
    Then the answer is complete for the caller

  # Its answer has neither a length nor chunks, so only a reset tells it that the answer was broken off.
  Scenario: A caller of HTTP/1.0 sees that a stream was broken off
    Given a streaming route whose target sends "200 cut stream"
    When a caller asks by HTTP/1.0
    Then the answer is not complete for the caller

  # Guards against a server that ends behind its head: neither an event nor a mark of the end tells that this was all.
  Scenario Outline: A stream without an event whose end is not marked is broken off, <what>, HTTP/<version>
    Given a <route> route whose target sends "<answer>"
    When a caller asks by HTTP/<version>
    Then the answer is not complete for the caller

    Examples:
      | what                       | route     | answer                             | version |
      | nothing behind the head    | streaming | 200 empty stream                   | 1.1     |
      | nothing behind the head    | streaming | 200 empty stream                   | 1.0     |
      | no content type            | streaming | 200 nothing without a content type | 1.1     |
      | a byte order mark          | streaming | 200 stream with a byte order mark  | 1.1     |
      | status 201                 | streaming | 201 empty stream                   | 1.1     |
      | on a plain route           | plain     | 200 empty stream                   | 1.1     |

  Scenario Outline: A stream that has begun is not completed by one without an event whose end is not marked, HTTP/<version>
    Given a streaming route whose target sends "200 stream cut between events"
    And another target that sends "200 empty stream"
    When a caller asks by HTTP/<version>
    Then the answer is not complete for the caller

    Examples:
      | version |
      | 1.1     |
      | 1.0     |

  # Guards against answers being refused that say themselves that nothing follows.
  Scenario Outline: An answer without an event whose end is known is complete, <answer>, HTTP/<version>
    Given a <route> route whose target sends "<answer>"
    When a caller <sends> by HTTP/<version>
    Then the answer is complete for the caller

    Examples:
      | route     | answer                          | sends      | version |
      | streaming | 200 empty chunked stream        | asks       | 1.1     |
      | streaming | 200 empty chunked stream        | asks       | 1.0     |
      | streaming | 200 empty stream of length 0    | asks       | 1.1     |
      | streaming | 204 without content             | asks       | 1.1     |
      | streaming | 200 empty stream                | sends HEAD | 1.1     |
      | plain     | 200 nothing up to its end       | asks       | 1.1     |
      | plain     | 200 nothing up to its end       | asks       | 1.0     |

  Scenario: A stream that has begun is completed by one without an event that ends with a last chunk
    Given a streaming route whose target sends "200 stream cut between events"
    And another target that sends "200 empty chunked stream"
    When a caller asks by HTTP/1.1
    Then the answer is complete for the caller

  # Each answer ends inside its head, so that it says nothing of the stream.
  Scenario Outline: A stream that has begun is not completed by an answer that ends inside its head, <answer>, HTTP/<version>
    Given a streaming route whose target sends "<first>"
    And another target that sends "<answer>"
    When a caller asks by HTTP/<version>
    Then the answer is not complete for the caller

    Examples:
      | first                         | answer                          | version |
      | 200 stream cut between events | cut behind its status line      | 1.1     |
      | 200 stream cut between events | cut inside its length           | 1.1     |
      | 200 stream cut between events | cut inside its length           | 1.0     |
      | 200 stream cut between events | cut inside its transfer coding  | 1.1     |
      | 200 stream cut between events | cut before its empty line       | 1.1     |
      | 200 stream cut between events | cut inside its empty line       | 1.0     |
      | 200 cut stream                | cut behind early hints          | 1.1     |
      | 200 cut stream                | cut before its empty line       | 1.0     |

  Scenario Outline: An answer that ends inside its head is not complete, <answer>, HTTP/<version>
    Given a <route> route whose target sends "<answer>"
    When a caller asks by HTTP/<version>
    Then the answer is not complete for the caller

    Examples:
      | route     | answer                          | version |
      | plain     | cut inside its length           | 1.1     |
      | plain     | cut inside its length           | 1.0     |
      | plain     | cut before its empty line       | 1.1     |
      | streaming | cut inside its transfer coding  | 1.1     |
      | streaming | cut before its empty line       | 1.0     |

  # Guards against what is kept of an earlier attempt counting for the next one.
  Scenario Outline: A request whose first answer ends inside its head is served by another target, <answer>
    Given a <route> route whose target sends "<answer>"
    And another target that sends "<whole>"
    When a caller asks by HTTP/1.1
    Then the answer is complete for the caller

    Examples:
      | route     | answer                    | whole                     |
      | plain     | cut inside its length     | 200 nothing up to its end |
      | streaming | cut before its empty line | 200 gzip stream           |
