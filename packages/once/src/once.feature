Feature: Non-repeatable requests run at most once

  Background:
    Given the owner of a ticket of account "one" with room for 2 requests

  Scenario: Retries get the response of the single run, even while it is in progress
    When the same request arrives 3 times, the last time after it has finished
    Then it ran once and all 3 got the complete response

  Scenario: A retry gets the complete response after the first caller has disconnected
    When a caller disconnects halfway through the response, and the request arrives again
    Then it ran once and the retry got the complete response

  Scenario: A request that did not run may be retried
    When a request is refused as not run and arrives again
    Then it ran 2 times

  Scenario: A ticket is valid for its own account only
    When account "two" sends a request with the ticket
    Then it is refused as "not_run" with "ticket_invalid"

  Scenario: A forged ticket is refused
    When a request arrives with a forged ticket signature
    Then it is refused as "not_run" with "ticket_invalid"

  Scenario: A new request is refused as not run after its ticket has expired
    When a request arrives for the first time after its ticket has expired
    Then it is refused as "not_run" with "ticket_expired"

  Scenario: A request after the retention time is never reported as not run
    When a request arrives after the retention time
    Then it is refused as "outcome_unknown" with "ticket_expired"

  Scenario: A full memory refuses new requests and keeps the old ones
    When 3 different requests arrive
    Then the last is refused as "not_run" with "once_memory_full" and the first is still remembered

  Scenario: A request whose response is no longer stored does not run again
    When a response larger than the response memory has finished and its request arrives again
    Then it is refused as "outcome_unknown" with "answer_not_kept"
