Feature: What becomes of a request whose weights or targets are not there

  Background:
    Given an engine that holds "m1"
    And a stream that is due after 400 ms, is awaited for 2000 ms and may take 12000 ms

  Scenario: Weights that come after the caller has left are no reason to hold it
    Given the weights of "m2" are expected in 3000 ms
    When a caller asks for "m2"
    Then it is refused at once with 503, to come back after 3000 ms

  Scenario: A request that is held is refused when its caller is about to leave
    Given the weights of "m2" are expected in 1000 ms
    When a caller asks for "m2"
    Then it is held for 1900 ms
    And it is refused with 503 before 2000 ms have passed

  Scenario: A held request goes on when its weights are there
    Given the weights of "m2" are expected in 1000 ms
    When a caller asks for "m2"
    And the engine holds "m2" after 900 ms
    Then it is sent to the engine

  Scenario: A held request is refused while there is time, not cut off by a planned stop
    Given the weights of "m2" are expected in 1800 ms
    And the box takes nothing more after 300 ms
    When a caller asks for "m2"
    Then it is refused with 503 before 600 ms have passed

  Scenario: A stream that would begin late is refused before it holds up those at work
    Given the engine has 1000 ms of prompts to read
    When a caller asks for "m1"
    Then it is refused at once with 503, to come back after the queue

  Scenario: A stream that can begin in time joins the queue
    Given the engine has 200 ms of prompts to read
    When a caller asks for "m1"
    Then it is sent to the engine

  Scenario: With no load on its way a request is not held beyond its objective
    When a caller asks for "m2"
    Then it is held for 350 ms
    And it is refused with 503 before 700 ms have passed

  Scenario: A slow load of a further replica is no reason to refuse a request for an adapter
    Given the weights of "m1" are expected in 6000 ms
    When a caller asks for "m1/x"
    And the engine holds the adapter "m1/x" after 150 ms
    Then it is sent to the engine

  Scenario: Two requests under which targets have ended are never at one target together
    Given "r1" and "r2" have their last try
    When "r1" is at the engine
    Then "r2" finds no target, and "r3" finds the engine
    When "r1" has ended
    Then "r2" finds the engine

  Scenario: A target that has all the connections which it takes is sent no more
    Given the engine takes 10 connections and other boxes have 10 there
    When a caller asks for "m1"
    Then it is refused at once with 503, to come back after 500 ms

  Scenario: A target that has a connection left is sent a request
    Given the engine takes 10 connections and other boxes have 9 there
    When a caller asks for "m1"
    Then it is sent to the engine
