Feature: Boxes tell each other of what they have served only if that may clear a suspect

  # Guards against heartbeats for nearly every served request after several engines have crashed, which took three times
  # the processor time of the requests themselves.
  Scenario: Parts lost by many targets at once are not reported by each box that serves them
    When 16 targets crash at the same time at box "a", every fourth of them with each of the parts "p0, p1, p2, p3"
    And box "b" serves 200 requests with each of these parts
    Then box "b" has reported no successes and asked for no early heartbeat

  # Guards against an innocent part being held because what was served with it arrives after the decision.
  Scenario: The first success with a part of two separate crashes is sent at once, and higher counts are not
    When 2 targets crash 1000 ms apart at box "a", each with the part "p0"
    And box "b" serves 1 requests with each of these parts
    Then box "b" has reported 1 successes and asked for 1 early heartbeats
    When box "b" serves 200 requests with each of these parts
    Then box "b" has asked for 1 early heartbeats and reports more than 100 successes

  # Guards against parts going unreported whose crashes weigh more once another cause explains those beside them.
  Scenario: Successes are reported once something held explains the crashes of the same instant
    When 8 targets crash at the same time at box "a", every second of them with each of the parts "p0, p1"
    And box "b" serves 3 requests with each of these parts
    And the part "p1" is held back by box "a"
    Then box "b" reports more than 5 successes

  # Guards against records that travel back and forth between boxes.
  Scenario: Records are not sent back to the box that sent them
    When 2 targets crash 1000 ms apart at box "a", each with the part "p0"
    Then box "b" has no records for box "a" but 2 for box "c"
