Feature: A request counts from the time since when it may have been waiting to be read

  Guards against requests that a late box holds past their time limit, since it counts the limit from when it reads them.

  Scenario: The first request of a connection that has not waited counts from when the connection was accepted
    Given a box at 1000 ms
    When a connection is accepted
    And its first request is read in the next iteration, 5 ms later
    Then the request counts from 1000 ms

  Scenario: A request on a kept connection counts from the start of the blocked period in which it may have come
    Given a box at 1000 ms
    And its event loop was blocked since 700 ms
    When a request is read on a kept connection
    Then the request counts from 700 ms

  Scenario: The first request of a connection counts from when the connection may have been waiting
    Given a box at 1000 ms
    And its event loop was blocked since 700 ms
    When a connection is accepted
    And its first request is read in the next iteration, 300 ms later
    Then the request counts from 700 ms

  Scenario: What arrived in a blocked period is read in the iteration in which its timers fire late
    Given input is read in an iteration whose timers were due at 700 and 650 ms
    Then it may have been waiting since 650 ms
    And input of the next iteration has not been waiting

  Scenario: A request that its caller sent some time after connecting counts from when it is read
    Given a box at 1000 ms
    And its event loop was blocked since 700 ms
    When a connection is accepted
    And its first request is read 2 iterations and 300 ms later
    Then the request counts from 1300 ms

  Scenario: Connections accepted in consecutive iterations may have waited since the first of them
    Given a box at 1000 ms
    When connections are accepted in 5 consecutive iterations of 100 ms
    Then the last connection may have been waiting since 1000 ms
    And the box has connected to itself

  Scenario: A queue that was empty is not counted as waiting
    Given a box at 1000 ms
    When connections are accepted in 5 consecutive iterations of 100 ms
    And the event loop waits for 2 ms for input
    And a connection is accepted
    Then the last connection may have been waiting since 1502 ms

  Scenario Outline: Connections behind the box's own one are taken to have waited for as long
    Given a box at 1000 ms
    When connections are accepted in 3 consecutive iterations of 100 ms
    And the box's own connection is accepted <order> it is reported as connected
    And a connection is accepted in the next iteration
    Then the last connection may have been waiting since 1100 ms
    And a wait of 200 ms was measured
    And the box connects to itself again after 8 connections in iterations of 100 ms, not before

    Examples:
      | order  |
      | after  |
      | before |

  # Guards against a caller's connection that is closed since its port has the number of the box's own one.
  Scenario: A caller's connection is not taken for the box's own one
    Given a box at 1000 ms
    When connections are accepted in 3 consecutive iterations of 100 ms
    And a caller's connection from the same port number is accepted
    Then the caller's connection stays open

  # Guards against a box that spends its time on connections to itself, as its queue is empty in between.
  Scenario: The box connects to itself seldom, also where its queue is empty in between
    Given a box at 1000 ms
    When 10 times connections are accepted in 3 consecutive iterations of 100 ms, with 2 ms for input in between
    Then the box has connected to itself at most 6 times
