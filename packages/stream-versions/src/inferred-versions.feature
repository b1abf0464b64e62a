Feature: The version of a stream that nobody knows is inferred from what was learned after the question

  Background:
    Given 8 boxes whose targets are of the versions "v1"

  # Guards against taking the silence of other boxes for proof that one version began a stream.
  Scenario: Where other boxes hang and the store does not answer, no version is inferred
    When boxes "3 4 5 6 7 8" hang, and this is not known yet
    And the store does not tell the versions
    Then box 1 infers no version, and not all have answered

  # Guards against inferring a version from a list that was read before the stream began.
  Scenario: Where other boxes hang and the store tells a further version, no version is inferred
    When boxes "5 6 7 8" hang, and this is not known yet
    And the store tells the versions "v1 v2"
    Then box 1 infers no version, and not all have answered

  Scenario: Where other boxes hang and the store tells one version, it is inferred
    When boxes "5 6 7 8" hang, and this is not known yet
    And the store tells the versions "v1"
    Then box 1 infers version "v1" within 150 ms

  # Guards against refusing the streams of a box that was killed while the store is away.
  Scenario: Where most boxes answer and the store does not, the version is inferred
    When boxes "5" hang, and this is not known yet
    And the store does not tell the versions
    Then box 1 infers version "v1" within 400 ms

  # Guards against taking the answers of boxes that are out of step together for those of most.
  Scenario: Where most of the asked boxes answer but few boxes are heard, no version is inferred
    When boxes "8" hang, and this is not known yet
    And the boxes that are up hear of few others
    And the store does not tell the versions
    Then box 1 infers no version, and not all have answered

  # Guards against taking a question that nobody was asked for one that all have answered.
  Scenario: A box that hears of few others infers no version by itself
    When boxes "2 3 4 5 6 7 8" are down
    And the boxes that are up hear of few others
    And the store does not tell the versions
    Then box 1 infers no version, and not all have answered

  Scenario: Where all boxes answer, the store is not asked for the versions
    Then box 1 infers version "v1" within 20 ms
    And the versions were read 0 times

  Scenario: Streams that are looked up together share reads of the versions
    When boxes "5 6 7 8" are down, and this is not known yet
    And 200 unknown streams are looked up at box 1 in 200 ms
    Then the versions were read at least once and at most 6 times
