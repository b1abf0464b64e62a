Feature: Guarantees hold for real processes that are killed, suspended and stopped

  Background:
    Given a deployment of 3 boxes and 4 engines as processes, with all models loaded

  Scenario: A box is killed while it runs a non-repeatable request
    When the owner of a non-repeatable request is killed while it runs, and the request is retried through another box
    Then the retry receives the outcome "outcome_unknown" and the request ran once

  Scenario: The lease holder of the pool is suspended beyond its lease and resumes
    When the lease holder is suspended until another box holds the lease, then resumed, and a model is updated to a new version
    Then the new version becomes ready and no stand-in recorded a violation

  Scenario: A box starts during an outage of the log
    When the log becomes unreachable and a new box starts
    Then the new box becomes ready and serves, and after the outage a change is in force on all boxes

  Scenario: All boxes are killed at the same time and replaced
    When all boxes are killed and three new ones start
    Then each new box serves, the replicas are unchanged, and no stand-in recorded a violation

  Scenario: A box is stopped under load
    When a box is stopped while it serves streams
    Then all streams complete and the box exits with 0

  # Guards against a stop that goes on as long as callers use their connections, or closes them under a request.
  Scenario: A box is stopped while callers go on using their connections
    When a box is stopped while 10 callers send one request after the other on connections that they keep
    Then each of their requests got a complete answer, and the box exits with 0 within 10000 ms

  Scenario: A box receives SIGHUP under load
    Guards against a missing signal handler: the default action would end the process and all streams through it.

    When a box receives SIGHUP while it serves streams
    Then all streams complete and the box continues to serve

  Scenario: An engine is killed during a stream
    When the engine that runs a repeatable stream is killed
    Then the stream completes
