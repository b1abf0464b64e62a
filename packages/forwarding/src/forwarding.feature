Feature: Requests whose weights or targets are not available are held, refused or sent

  Background:
    Given an engine with model "m1" loaded
    And a streaming route with an objective of 400 ms, a caller patience of 2000 ms and a timeout of 12000 ms

  Scenario: A request is refused if its weights are expected only after the caller's patience
    Given the weights of "m2" are expected to load in 3000 ms
    When a request for "m2" arrives
    Then it is refused at once with 503, with a Retry-After of 3000 ms

  Scenario: A held request is refused before its caller's patience ends
    Given the weights of "m2" are expected to load in 1000 ms
    When a request for "m2" arrives
    Then it is still held after 1900 ms
    And it is refused with 503 within 2000 ms

  Scenario: A held request is sent once its weights are loaded
    Given the weights of "m2" are expected to load in 1000 ms
    When a request for "m2" arrives
    And the engine has loaded "m2" after 900 ms
    Then it is sent to the engine

  Scenario: A held request is refused in time before a planned shutdown
    Given the weights of "m2" are expected to load in 1800 ms
    And the box accepts no requests after 300 ms
    When a request for "m2" arrives
    Then it is refused with 503 within 600 ms

  # Guards against waits that outlast the time in which a stopping box could still serve the request.
  Scenario: A request that waits for the end of a rest is refused in time before a planned shutdown
    Given the engine asks for a rest of 350 ms
    And the box accepts no requests after 50 ms
    When a request for "m1" arrives
    Then it is refused with 503 within 300 ms

  # Guards against requests that a stopping box took in time and writes to a target when too little time is left.
  Scenario: A request whose connection comes too late for a planned shutdown is not written
    Given the connection to the engine takes 200 ms
    And the box accepts no requests after 100 ms
    When a request for "m1" arrives
    Then it is refused with 503 within 300 ms
    And no byte of it was written

  # Guards against requests that a held-up box writes to a target after their time limit.
  Scenario: A request whose connection is ready after its time limit is not written
    Given the connection to the engine takes 2100 ms
    When a request for "m1" arrives
    Then it is refused with 503 within 2200 ms
    And no byte of it was written

  # Guards against requests that run although their caller was told, as the box has to exit, that they never will.
  Scenario: A request whose work is ended while its connection is made is not written
    Given the connection to the engine takes 200 ms
    When a request for "m1" arrives
    And its work is ended after 100 ms
    Then no byte of it was written after 400 ms

  Scenario: A stream that would start late is refused instead of delaying running streams
    Given the engine has prompts for 1000 ms of prefill queued
    When a request for "m1" arrives
    Then it is refused at once with 503, with a Retry-After no shorter than the queue

  Scenario: A stream that can start in time joins the queue
    Given the engine has prompts for 200 ms of prefill queued
    When a request for "m1" arrives
    Then it is sent to the engine

  Scenario: A request is not held beyond its objective if no load is in progress
    When a request for "m2" arrives
    Then it is still held after 350 ms
    And it is refused with 503 within 700 ms

  # Guards against callers being told that no load is coming before anybody could have ordered one.
  Scenario: A request is held beyond its objective while no lease holder has planned loads
    Given no lease holder plans loads for 1000 ms
    When a request for "m2" arrives
    Then it is still held after 950 ms
    And it is refused with 503 within 1300 ms

  Scenario: A request held while no lease holder has planned loads is served by a later load
    Given no lease holder plans loads for 1000 ms
    When a request for "m2" arrives
    And the engine has loaded "m2" after 900 ms
    Then it is sent to the engine

  # Guards against holding callers whose weights cannot be loaded in time, whatever a lease holder decides.
  Scenario: A request held while no lease holder has planned loads is refused once no load can be in time
    Given no lease holder plans loads for 12000 ms
    When a request for "slow" arrives
    Then it is still held after 400 ms
    And it is refused with 503 within 900 ms

  Scenario: A request for an adapter is not refused because a further replica loads slowly
    Given the weights of "m1" are expected to load in 6000 ms
    When a request for "m1/x" arrives
    And the engine has loaded the adapter "m1/x" after 150 ms
    Then it is sent to the engine

  Scenario: A target runs at most one request on its final attempt at a time
    Given "r1" and "r2" are on their final attempt
    When "r1" runs on the engine
    Then no target is picked for "r2", and the engine is picked for "r3"
    When "r1" has ended
    Then the engine is picked for "r2"

  Scenario: A target at its connection limit gets no further request
    Given the engine accepts 10 connections and other boxes use 10 of them
    When a request for "m1" arrives
    Then it is refused at once with 503, with a Retry-After of 500 ms

  Scenario: A target below its connection limit gets a request
    Given the engine accepts 10 connections and other boxes use 9 of them
    When a request for "m1" arrives
    Then it is sent to the engine
