Feature: A box that holds too many bytes gives way in a fixed order

  # Load: callers that read slowly while targets answer fast. Guards against targets that abort answers because the box applies
  # backpressure although it has room.
  Scenario: Targets are read ahead of slow callers up to three quarters of the bound
    Given a bound of 1000000 bytes
    When response "a" has 700000 unread bytes
    Then response "a" reads on
    When response "b" has 100000 unread bytes
    Then response "b" does not read on

  # Guards against a target that stays paused after there is room again.
  Scenario: Paused targets are read again once there is room
    Given a bound of 1000000 bytes
    When response "a" has 700000 unread bytes
    And response "b" has 100000 unread bytes
    And response "a" has 500000 unread bytes
    And the caller of response "a" disconnects
    Then response "b" was resumed

  # Guards against ending answers of callers that read slowly, while others read nothing.
  Scenario: The response whose caller has taken nothing for longest is ended first
    Given a bound of 1000000 bytes
    When response "a" has 400000 unread bytes
    And response "b" has 400000 unread bytes
    And 2000 ms go by
    And the caller of response "a" takes bytes
    And response "a" has 650000 unread bytes
    Then the responses "b" were ended
    And 650000 bytes are held

  # Guards against ending answers whose callers read, when only request bodies grow.
  Scenario: Responses whose callers read are not ended; new bodies are refused
    Given a bound of 1000000 bytes
    When response "a" has 700000 unread bytes
    And 2000 ms go by
    And the caller of response "a" takes bytes
    And a request body of 400000 bytes arrives
    Then it is refused with a Retry-After from 200 to 7500 ms
    And the responses "" were ended

  # Order of measures: answers that nobody reads are ended before new requests are refused.
  Scenario: A body finds room when an unread response is ended
    Given a bound of 1000000 bytes
    When response "a" has 700000 unread bytes
    And 2000 ms go by
    And a request body of 400000 bytes arrives
    Then it is accepted
    And the responses "a" were ended

  # Guards against bodies that are never completed and keep others out.
  Scenario: Incomplete bodies give way, the largest one of which nothing arrives first
    Given a bound of 1000000 bytes
    When 300000 bytes of the incomplete body "a" arrive
    And 500000 bytes of the incomplete body "b" arrive
    And 2000 ms go by
    And 150000 bytes of the incomplete body "c" arrive
    And a request body of 100000 bytes arrives
    Then it is accepted
    And the incomplete bodies "b" were dropped
    And 550000 bytes are held

  # Guards against large bodies that arrive without a pause and keep small ones out.
  Scenario: Among bodies that arrive without a pause, a larger one gives way to a smaller one, not the reverse
    Given a bound of 1000000 bytes
    When 600000 bytes of the incomplete body "a" arrive
    And 300000 bytes of the incomplete body "b" arrive
    And 50000 bytes of the incomplete body "c" arrive
    And 200000 bytes of the incomplete body "b" arrive
    Then the incomplete bodies "a" were dropped
    When 460000 bytes of the incomplete body "b" arrive
    Then it is refused with a Retry-After from 200 to 7500 ms
    And the incomplete bodies "a" were dropped
    And 550000 bytes are held

  # Guards against bodies that are dropped for others though their requests are being served.
  Scenario: Complete bodies are not dropped
    Given a bound of 1000000 bytes
    When 900000 bytes of the incomplete body "a" arrive
    And the body "a" is complete
    And 2000 ms go by
    And a request body of 200000 bytes arrives
    Then it is refused with a Retry-After from 200 to 7500 ms
    And the incomplete bodies "" were dropped

  # Guards against targets that send without end and thereby end sound responses of others.
  Scenario: The largest response of the target of which most is kept gives way beyond half of the bound
    Given a bound of 1000000 bytes
    When 150000 bytes of response "a" from "t1" are not forwarded yet
    And 160000 bytes of response "b" from "t1" are not forwarded yet
    And 180000 bytes of response "c" from "t2" are not forwarded yet
    Then the responses "" gave way
    When 190000 bytes of response "c" from "t2" are not forwarded yet
    And 100000 bytes of response "d" from "t1" are not forwarded yet
    Then the responses "b" gave way
    And 440000 bytes are held

  # Guards against a large event that gives way because the target without end was made to give way before.
  Scenario: A target that gave way lately does so again before a target of which more is kept
    Given a bound of 1000000 bytes
    When 400000 bytes of response "a" from "t1" are not forwarded yet
    And 200000 bytes of response "b" from "t2" are not forwarded yet
    Then the responses "a" gave way
    When 400000 bytes of response "b" from "t2" are not forwarded yet
    And 120000 bytes of response "c" from "t1" are not forwarded yet
    Then the responses "a c" gave way
    When 6000 ms go by
    And 120000 bytes of response "d" from "t1" are not forwarded yet
    Then the responses "a c b" gave way

  # Guards against bodies that are refused because of targets that send without end.
  Scenario: A body finds room when a response that goes on gives way
    Given a bound of 1000000 bytes
    When 450000 bytes of response "a" from "t1" are not forwarded yet
    And 500000 bytes of the incomplete body "b" arrive
    And a body of 200000 bytes is announced
    Then it is accepted
    And the responses "" gave way
    When a request body of 200000 bytes arrives
    Then it is accepted
    And the responses "a" gave way
    And the incomplete bodies "" were dropped

  # Guards against small events that give way though many of them make up the sum.
  Scenario: Small unforwarded parts of responses do not give way
    Given a bound of 1000000 bytes
    When 9000 bytes of each of 60 responses from "t1" are not forwarded yet
    Then the responses "" gave way
    And 540000 bytes are held

  # Guards against callers that announce bodies and thereby end those of others.
  Scenario: An announced body drops no other one
    Given a bound of 1000000 bytes
    When 900000 bytes of the incomplete body "a" arrive
    And 2000 ms go by
    And a body of 400000 bytes is announced
    Then it is accepted
    And the incomplete bodies "" were dropped

  Scenario: Retry-After follows the rate at which bytes are released
    Given a bound of 1000000 bytes
    When a request body of 900000 bytes arrives
    And 1000 ms go by
    And a request body of 100000 bytes arrives and ends
    And a request body of 200000 bytes arrives
    Then it is refused with a Retry-After from 1000 to 3000 ms

  # Guards against bytes that stay counted: 20000 random operations.
  Scenario: Nothing is held once all requests have ended, whatever happened
    Then after any operations the bytes are those of the open holds, and none remain at the end

  Scenario: Bodies to one target are bounded, and a target that reads slowly counts as full
    Given a bound of 1000000 bytes for the bodies of each target
    When a body of 900000 bytes is sent to "t1"
    Then "t1" has no room for 200000 bytes
    And "t1" has room for 50000 bytes
    And "t2" has room for 200000 bytes
    When 600 ms go by
    Then "t1" has no room for 50000 bytes
    When the body has left the box
    Then "t1" has room for 50000 bytes
    When the request with the body ends
    Then "t1" has room for 1000000 bytes
