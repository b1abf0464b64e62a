Feature: Places at fragile targets

  Scenario: Sends that may still be rejected stay below the rejections that the target survives
    Given a target that has just said that it survives 5 rejections per second
    When 10 requests ask for a place
    Then 4 of them have one

  Scenario: Sends that were not rejected in time make way for others
    Given a target that has just said that it survives 5 rejections per second
    When 4 requests ask for a place
    And 60 ms pass without a rejection
    And 10 requests ask for a place
    Then 8 of them have one

  Scenario: Rejections of the last second leave fewer sends
    Given a target that has just said that it survives 5 rejections per second
    When 4 requests ask for a place
    And 4 of them are rejected
    And 900 ms pass without a rejection
    And 10 requests ask for a place
    Then 0 of them have one

  Scenario: No more requests are in flight than the target had room for
    Given a target that has just said that it survives 5 rejections per second
    When 4 requests ask for a place
    And 1 of them are rejected
    And 1100 ms pass without a rejection
    And 10 requests ask for a place
    Then 3 of them have one

  Scenario: The room is tried again after a while
    Given a target that has just said that it survives 5 rejections per second
    When 4 requests ask for a place
    And 1 of them are rejected
    And 2100 ms pass without a rejection
    And 10 requests ask for a place
    Then 4 of them have one

  Scenario: A target that survives no rejection is not tried beyond the room that it had when it crashed
    Given a target that has just said that it survives 0 rejections per second
    When 1 requests ask for a place
    And 60 ms pass without a rejection
    And 1 requests ask for a place
    And 2 of them are lost
    And 60000 ms pass without a rejection
    And 1 requests ask for a place
    And 1 of them are served
    And 60000 ms pass without a rejection
    And 10 requests ask for a place
    Then 1 of them have one

  Scenario: A target whose incarnation has ended is filled slowly
    Given a target that has just said that it survives 5 rejections per second
    When 4 requests ask for a place
    And the target starts again
    And 10 requests ask for a place
    Then 1 of them have one

  Scenario: A box that begins to allocate for a target that was fragile before fills it slowly
    Given a target that has said for 10 s that it survives 5 rejections per second
    When 10 requests ask for a place
    Then 1 of them have one

  Scenario: A place that is not given back is free again after its request's deadline
    Given a target that has said for 10 s that it survives 5 rejections per second
    When 1 requests ask for a place
    And 5100 ms pass without a rejection
    And 1 requests ask for a place
    Then 2 of them have had one

  Scenario: Requests that wait for a place ask again one after the other
    Given a target that has just said that it survives 3 rejections per second
    When 6 requests ask for a place
    Then those without a place are to ask again after "50 75 100 125" ms

  Scenario: Places that another box has granted count until they can no longer be rejected
    Given a target that has just said that it survives 3 rejections per second
    When 1 requests ask for a place
    And another box grants a place at the target
    And 1 requests ask for a place
    Then 1 of them have one

  Scenario: Targets for which nobody asks any more are forgotten with time
    Given a target that has just said that it survives 5 rejections per second
    When 1 requests ask for a place
    And 11000 ms pass without a rejection
    Then it is still known if those idle for 12 s are dropped
    And nothing is known if those idle for 10 s are dropped
