Feature: Boxes know which software versions services have had

  Background:
    Given a store and a box that has read it

  Scenario: The version of all targets began each stream
    When target "t1" of version "v1" is listed
    And target "t2" of version "v1" is listed
    Then only version "v1" can have begun a stream

  Scenario: Several versions may have begun a stream until a minute after the last target of all but one has gone
    When target "t1" of version "v1" is listed
    And target "t2" of version "v2" is listed
    Then several versions may have begun a stream
    When target "t1" has gone
    And 59 s have gone by
    Then several versions may have begun a stream
    When 2 s have gone by
    Then only version "v2" can have begun a stream

  Scenario: A target whose entry names another version counts with both
    When target "t1" of version "v1" is listed
    And target "t1" of version "v2" is listed
    Then several versions may have begun a stream

  Scenario: A target of unknown version may be of any
    When target "t1" of version "v1" is listed
    And target "t2" of unknown version is listed
    Then several versions may have begun a stream

  Scenario: A box that does not hear of changes of the list can't tell
    When target "t1" of version "v1" is listed
    And the box hears nothing of the list
    Then several versions may have begun a stream

  Scenario: A box that starts after a version has gone from the list knows of it
    When target "t1" of version "v1" is listed
    And target "t2" of version "v2" is listed
    And 1 s have gone by
    And target "t1" has gone
    And the box starts again, and only target "t2" of version "v2" is listed
    Then several versions may have begun a stream
    When 61 s have gone by
    Then only version "v2" can have begun a stream

  Scenario: A box that starts where there was one version all along knows it at once
    When target "t1" of version "v1" is listed
    And 1 s have gone by
    And the box starts again, and only target "t1" of version "v1" is listed
    Then only version "v1" can have begun a stream

  Scenario: A box that can't read the store can't tell until a minute after its start
    Given the store does not answer
    When the box starts again, and only target "t1" of version "v1" is listed
    Then several versions may have begun a stream
    When 61 s have gone by
    Then only version "v1" can have begun a stream

  Scenario: A store that has come back from an older copy is told again
    When target "t1" of version "v1" is listed
    And target "t2" of version "v2" is listed
    And 1 s have gone by
    And the store loses all records and comes back
    And 1 s have gone by
    And target "t1" has gone
    And the box starts again, and only target "t2" of version "v2" is listed
    Then several versions may have begun a stream

  # Guards against missing a version that came and went while the list did not reach this box.
  Scenario: A box that reads the records again knows a version that it has never seen
    When target "t1" of version "v1" is listed
    And 1 s have gone by
    And another box records the versions "v1 v2"
    Then only version "v1" can have begun a stream
    When the box reads the records again
    Then several versions may have begun a stream

  # Guards against a box that was cut off and replaces the record by what it knew before.
  Scenario: A box that was out of step adds its versions to those that another box has recorded
    When target "t1" of version "v1" is listed
    And 1 s have gone by
    And another box records the versions "v1 v2"
    And target "t3" of version "v3" is listed
    And 1 s have gone by
    Then the versions "v1 v2 v3" are recorded

  # Guards against versions that never end, as each reading of the records renews them.
  Scenario: Reading the records again does not renew a version that has gone
    When target "t1" of version "v1" is listed
    And target "t2" of version "v2" is listed
    And 1 s have gone by
    And target "t2" has gone
    And 40 s have gone by
    And the box reads the records again
    And 21 s have gone by
    Then only version "v1" can have begun a stream

  Scenario: The box tells that it could not read the records again
    Given the store does not answer
    Then the box can't read the records again

  Scenario: The store is written to when versions change only
    When target "t1" of version "v1" is listed
    And 30 s have gone by
    And target "t2" of version "v1" is listed
    And 30 s have gone by
    Then the store was written to 1 time

  Scenario: A box that is not the writer writes nothing
    Given the box is not the writer
    When target "t1" of version "v1" is listed
    And 30 s have gone by
    Then the store was written to 0 times
