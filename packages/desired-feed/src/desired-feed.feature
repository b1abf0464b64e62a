Feature: The newest configuration and the list of targets are in force, whatever the store does

  Background:
    Given a store with configuration 3 and targets "t1 t2"
    And a feed that has read them

  Scenario: A newer configuration comes into force, an older or broken one never
    When configuration 5 is written
    And configuration 4 is written
    And a broken configuration is written
    And 1000 ms go by in the feed
    Then configuration 5 is in force
    And 1 bad record has been logged

  Scenario: Changes are read through an outage
    When the store refuses the feed
    And configuration 6 is written
    And the target "t3" is written
    And 3000 ms go by in the feed
    Then the feed knows that the store is away
    And configuration 3 is in force
    When the store serves the feed
    And 2000 ms go by in the feed
    Then configuration 6 is in force
    And the targets "t1 t2 t3" are known

  Scenario: History that is gone is read anew, with targets that went meanwhile
    When the store refuses the feed
    And the target "t1" is dropped
    And the target "t3" is written
    And the history is dropped
    And the store serves the feed
    And 6000 ms go by in the feed
    Then the targets "t2 t3" are known

  Scenario: Another box's copy counts where it is ahead, and never where it is behind
    When the store refuses the feed
    And a copy with configuration 7 and targets "t2 t4" of a later read comes from another box
    Then configuration 7 is in force
    When a copy with configuration 2 and targets "t9" of an earlier read comes from another box
    Then configuration 7 is in force
    And the target "t9" is not known

  Scenario: A box that leaves reading to others makes no calls, and takes what they tell
    When the feed leaves reading to other boxes
    And 500 ms go by in the feed
    Then the store is not read
    When another box tells of "t3" changed and "t1" gone
    And 2000 ms go by in the feed
    Then the targets "t2 t3" are known

  Scenario: A box that reads again takes the whole list from the store
    When the feed leaves reading to other boxes
    And 500 ms go by in the feed
    And another box tells of "t8" changed and "t1" gone
    And the target "t3" is written
    And the target "t4" is written
    And the target "t5" is written
    And the feed reads itself again
    And 4000 ms go by in the feed
    Then the targets "t1 t2 t3 t4 t5" are known

  Scenario: Another box is told just what has changed since
    Given another box has been told of all
    When the target "t3" is written
    And the target "t1" is dropped
    And 500 ms go by in the feed
    Then a box that was told of all before is told of "t3" changed and "t1" gone
    And a box that has read up to the start is told of "t2 t3", the whole list

  Scenario: What a box was told, it tells on
    Given another box has been told of all
    When the store refuses the feed
    And another box tells of "t3" changed and "t1" gone
    Then a box that was told of all before is told of "t3" changed and "t1" gone
    When another box tells of "t4" changed and "t2" gone
    Then a box that was told of all before is told of "t3 t4" changed and "t1 t2" gone

  Scenario: An entry that cannot be read takes no other with it, and is used again when it is good
    When "{" is written as the entry of "t1"
    And the target "t3" is written
    And 500 ms go by in the feed
    Then the targets "t2 t3" are known
    And a box that has read up to the start is told of "t2 t3", the whole list, and that "t1" can't be read
    When the target "t1" is written
    And 500 ms go by in the feed
    Then the targets "t1 t2 t3" are known

  Scenario: What another box could not read is left alone here as well
    Given another box has been told of all
    When the feed leaves reading to other boxes
    And 500 ms go by in the feed
    And another box tells that "t1" can't be read
    Then the targets "t2" are known
    And a box that was told of all before is told that "t1" can't be read

  Scenario: A change that is read while another box tells of others takes no target away
    When another box tells of "t3" changed and "t9" gone
    And the target "t3" is written
    And the target "t4" is written
    And the target "t5" is written
    And 4000 ms go by in the feed
    Then the targets "t1 t2 t3 t4 t5" are known
