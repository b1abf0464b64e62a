Feature: A request that may not be repeated runs at most once

  Background:
    Given the owner of a ticket of account "one" with room for 2 requests

  Scenario: Repeats get the answer of the one run, even while it runs
    When the same request comes 3 times, the last after it has ended
    Then it ran once and all 3 got the whole answer

  Scenario: Its caller goes in the middle, and a repeat still gets the whole answer
    When a caller reads half of an answer and goes, and the request comes again
    Then it ran once and the repeat got the whole answer

  Scenario: A request that did not run may be tried again
    When a request is refused as not run and comes again
    Then it ran 2 times

  Scenario: A ticket is good for its own account only
    When account "two" sends a request under the ticket
    Then it is refused as "not_run" with "ticket_invalid"

  Scenario: A forged ticket is refused
    When a request comes under a ticket with another seal
    Then it is refused as "not_run" with "ticket_invalid"

  Scenario: After the ticket's end a new request is refused as not run
    When a request comes for the first time after the ticket has ended
    Then it is refused as "not_run" with "ticket_expired"

  Scenario: What is too long ago to know is never called not run
    When a request comes after the time for which runs are remembered
    Then it is refused as "outcome_unknown" with "ticket_expired"

  Scenario: When the memory is full, new requests are refused and old ones stay remembered
    When 3 different requests come
    Then the last is refused as "not_run" with "once_memory_full" and the first is still remembered

  Scenario: An answer that is no longer held is not run again
    When an answer larger than the memory for answers has ended and the request comes again
    Then it is refused as "outcome_unknown" with "answer_not_kept"
