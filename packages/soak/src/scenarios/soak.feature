Feature: Invariants hold under random faults

  Scenario Outline: Random faults, alone and in pairs: seed <seed>
    Then a run with seed <seed> and all faults violates no invariant

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 9    |
      | 39   |
      | 124  |
      | 10160 |
      | 10373 |
      | 100589 |
      | 100778 |

  Scenario Outline: A single kind of fault, repeatedly: <fault>
    Then a run with seed 7 and the fault "<fault>" violates no invariant

    Examples:
      | fault           |
      | killBox         |
      | pauseBox        |
      | replaceBoxes    |
      | drainBox        |
      | isolateBox      |
      | cutFromLog      |
      | loseDomain      |
      | engineLeaves    |
      | logDown         |
      | logSlow         |
      | logLosesReplies |
      | logForgets      |
      | poorLinks       |
      | lateOrders      |

  Scenario: A new box starts while the log is down
    Given an idle deployment
    When the log goes down and a box joins
    Then the new box serves every model within 5 s

  Scenario: Boxes with few direct heartbeats do not mistake a log outage for a network partition
    Given 24 boxes that each send one heartbeat per round
    When the log is down for 15 s, more than twice the time that an isolated box may serve
    Then every box still serves

  Scenario: Boxes that are partitioned from the log and the other boxes stop serving
    Given 24 boxes that each send one heartbeat per round
    When 4 boxes are partitioned from the log and the other boxes for 15 s
    Then those 4 reject requests and the others serve

  # Guards against an outage that is confirmed by what other boxes said before the cut, as large deployments keep it for minutes.
  Scenario Outline: <count> boxes that are cut off stop serving although the others are suspected much later
    Given 24 boxes that each send one heartbeat per round, and are suspected after 60 s
    When <count> boxes are partitioned from the log and the other boxes for 15 s
    Then those <count> reject requests and the others serve

    Examples:
      | count |
      | 1     |
      | 4     |

  Scenario: Boxes that suspect others much later do not mistake a log outage for a network partition
    Given 24 boxes that each send one heartbeat per round, and are suspected after 60 s
    When the log is down for 15 s, more than twice the time that an isolated box may serve
    Then every box still serves

  Scenario: A write during a log outage is answered within its time limit
    Given an idle deployment
    When the log has been down for 2 s and an operator writes through each box
    Then each write is answered within 11 s with an unknown outcome

  Scenario: A box that starts during a log outage and is then isolated stops serving
    Given an idle deployment
    When a box joins after the log has been down for 4 s
    And 3 s later it is partitioned from all others for 10 s
    Then it rejects requests and the others serve

  Scenario: Boxes that start while the box list is down find each other through the log
    Given an idle deployment
    When the box list goes down and every box is replaced
    Then within 12 s every box sees every other as alive

  Scenario: A log that lost records without a snapshot is not mistaken for an empty log
    Given an idle deployment without snapshots
    When all boxes are removed, the log drops its oldest records, and a new box starts
    Then the new box is not ready and rejects requests with "not_ready"

  Scenario: A box that was paused sends nothing to targets that started leaving meanwhile
    Given an idle deployment
    When a box is paused, all engines but one start leaving, and the box resumes with new requests 4 s later
    Then no leaving engine got a new request

  Scenario: Boxes keep using an engine that its only report reader can no longer reach
    Given an idle deployment in which one box polls the reports of each engine for all boxes
    When a box is cut off from the engines whose reports it polls
    Then the other boxes serve every model 4 s later

  Scenario: A report reader that cannot reach an engine does not relay old reports as new
    Given an idle deployment in which one box polls the reports of each engine for all boxes
    When a box is cut off from the engines whose reports it polls
    And all engines but one start leaving
    Then no engine gets new requests 3 s after it started leaving

  Scenario: A caller that disconnects cancels its request at the engine
    Given an idle deployment
    When the caller of a long stream disconnects after the first token
    Then no engine has running or queued requests 1 s later

  Scenario: The models of a lost failure domain are reloaded within the limits of the weight store
    Given an idle deployment
    When the engines of one failure domain are lost
    Then every model is served again within 30 s and at most 8 loads ran concurrently

  Scenario Outline: The rate limit of an account holds across all boxes
    Given an idle deployment
    When an account limited to 20 requests per second sends 90 per second to <boxes> boxes for 30 s
    Then between 15 and 30 requests per second were admitted in the last 15 s

    Examples:
      | boxes |
      | 1     |
      | 3     |

  Scenario: The external messages of a session match the recording
    Then the trace of the session matches session.golden.txt
