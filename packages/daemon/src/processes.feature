Feature: Real processes keep the promises when they are killed, frozen and stopped

  Background:
    Given a deployment of 3 boxes and 4 engines as processes, with every model placed

  Scenario: A box is killed in the middle of a request that may run once
    When the owner of such a request is killed while it runs, and the request is repeated through another box
    Then the repeat is told "outcome_unknown" and the request ran once

  Scenario: The holder of the pool is frozen past its lease and wakes up
    When the holder is frozen until another box holds the pool, then woken, and a model changes its version
    Then the new version becomes ready and no stand-in saw a violation

  Scenario: The log is out, and a box starts meanwhile
    When the log goes down and a new box starts
    Then the new box becomes ready and answers, and after the outage a change is in force on every box

  Scenario: Every box is killed at the same moment, and others start in their place
    When every box is killed and three new ones start
    Then each of the new boxes serves, with every copy where it was, and no stand-in saw a violation

  Scenario: A box is stopped under load
    When a box is stopped while streams run through it
    Then every stream ends whole and the box exits with 0

  Scenario: A box is told under load that its settings have changed
    A box of this line had no handler for the signal that says so. Its default effect ended the process in the middle of all
    streams through it.

    When a box is told so while streams run through it
    Then every stream ends whole and the box goes on serving

  Scenario: An engine is killed in the middle of a stream
    When the engine of a repeatable stream is killed
    Then the stream ends whole
