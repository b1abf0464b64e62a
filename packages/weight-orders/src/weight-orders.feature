Feature: Each engine receives one order at a time, and the next only after its outcome is known

  Background:
    Given engines "e1 e2" of 150 MB that hold "a" and models "a b c" of 100 MB
    And a dispatcher that holds the lease with epoch 4

  Scenario: A model with waiting requests replaces another
    When requests wait for "b"
    And the dispatcher runs for 3000 ms
    Then one engine holds "b" and one holds "a"
    And no engine exceeded its memory

  Scenario: An order that is lost without an answer is sent again
    Given the next 2 orders are lost
    When requests wait for "b"
    And the dispatcher runs for 9000 ms
    Then one engine holds "b" and one holds "a"
    And no engine exceeded its memory

  # Guards against a lease holder that reads reports on kept connections and whose new connections for orders all fail.
  Scenario: An order whose connection is not established tells of an engine that this box does not reach
    Given the connection for the next order is not established
    When requests wait for "b"
    And the dispatcher runs for 3000 ms
    Then one engine is reported as unreachable by an order that has not arrived
    And one engine holds "b" and one holds "a"

  Scenario: An order without an answer tells of an engine that this box may not reach
    Given the next 1 orders are lost
    When requests wait for "b"
    And the dispatcher runs for 3000 ms
    Then one engine is reported as unreachable by an order that may have arrived
    And one engine holds "b" and one holds "a"

  Scenario: A long load that an engine has accepted is not ordered again while it runs
    Given loads take 5000 ms and reports of engines are 200 ms old
    When requests wait for "b"
    And the dispatcher runs for 7000 ms
    Then one engine holds "b" and one holds "a"
    And no load was ordered after the first was accepted

  Scenario: Orders that are executed late fail the sequence check and change nothing
    Given the next 3 orders are executed 2500 ms late and not answered
    When requests wait for "b"
    And the dispatcher runs for 15000 ms
    Then one engine holds "b" and one holds "a"
    And no engine exceeded its memory

  Scenario: No orders are sent without the lease
    Given the dispatcher loses the lease
    When requests wait for "b"
    And the dispatcher runs for 3000 ms
    Then no order was sent

  # Guards against orders of two lease holders that take turns at an engine.
  Scenario: An order whose connection is established only after the lease has ended does not reach its engine
    Given connections for orders take 400 ms to establish
    When requests wait for "b"
    And the dispatcher runs for 300 ms
    Then 1 order has been handed over
    When the dispatcher loses the lease
    And the dispatcher runs for 2000 ms
    Then no order reached an engine
    And 1 order is recorded as withheld

  Scenario: An order whose connection is established in a later lease term does not reach its engine
    Given connections for orders take 400 ms to establish
    When requests wait for "b"
    And the dispatcher runs for 300 ms
    And the dispatcher loses the lease
    And the dispatcher runs for 200 ms
    And the dispatcher holds the lease again with epoch 6
    And the dispatcher runs for 2000 ms
    Then no order of epoch 4 reached an engine
    And one engine holds "b" and one holds "a"

  # Guards against waiting for the outcome of an order that was never written.
  Scenario: An order that was withheld is sent again as soon as the lease allows it
    Given the next 2 orders are withheld
    When requests wait for "b"
    And the dispatcher runs for 600 ms
    Then an order reached an engine

  Scenario: An adapter order that was withheld is sent again as soon as the lease allows it
    Given the next 2 orders are withheld
    When the dispatcher runs for 500 ms
    And a request waits for adapter "a/x"
    And the dispatcher runs for 300 ms
    Then one engine is assumed to hold adapter "a/x"

  Scenario: Loads that were withheld do not count towards the store load limit
    Given 2 engines "x" of 150 MB that hold no model, and a store limit of 1 loads per second
    And the next 4 orders are withheld
    When the dispatcher runs for 6000 ms
    And requests wait for "a"
    And the dispatcher runs for 1000 ms
    And requests wait for "b"
    And the dispatcher runs for 1500 ms
    Then one engine holds "a" and one holds "b"

  Scenario: The log tells how much lease time was left for an order and how long it waited
    Given connections for orders take 400 ms to establish
    When requests wait for "b"
    And the dispatcher runs for 1000 ms
    Then the first answered order had 1000 ms of the lease left and waited 400 ms

  Scenario: An order that an engine refuses as fenced ends the lease term
    Given the engines have seen epoch 9
    When requests wait for "b"
    And the dispatcher runs for 1000 ms
    Then the lease is notified that epoch 4 was refused

  Scenario: A box that regains the lease polls engines before it sends orders
    Given 1 engines "x" of 150 MB that hold no model, and a store limit of 100 loads per second
    When the dispatcher runs for 600 ms
    And the dispatcher loses the lease
    And another lease holder loads "a" on "x0" and reports it before the load finishes
    And engines respond after 200 ms
    And the dispatcher holds the lease again with epoch 6
    And requests wait for "b"
    And the dispatcher runs for 1000 ms
    Then no engine exceeded its memory
    When the dispatcher runs for 3000 ms
    Then one engine holds "b"
    And no engine exceeded its memory

  # Guards against taking a lease holder that doesn't know its engines yet for one that has decided against a load.
  Scenario: Loads count as planned only once all engines have been polled in the lease term
    When the dispatcher runs for 600 ms
    Then loads have been planned in the last 100 ms
    When the dispatcher loses the lease
    And the dispatcher runs for 300 ms
    Then no loads have been planned in this term
    When engines respond after 200 ms
    And the dispatcher holds the lease again with epoch 6
    And the dispatcher runs for 250 ms
    Then no loads have been planned in this term
    When the dispatcher runs for 500 ms
    Then loads have been planned in the last 100 ms

  Scenario: The store load limit is respected, including after a change of lease holder
    Given 12 engines "x" of 150 MB that hold no model, and a store limit of 2 loads per second
    When requests wait for "a b c" on many engines and the dispatcher runs for 20000 ms
    Then in any 5 s at most 11 loads from the store start

  Scenario: The expected time is that of the replica that is ready first
    Given 2 engines "x" of 150 MB that hold no model, and a store limit of 100 loads per second
    When many requests wait for "a"
    And the dispatcher runs for 180 ms
    Then "a" is expected to be ready within 500 ms

  Scenario: Engines stay within their memory despite lost, late and refused orders
    Then for 25 seeds of lost and late orders no engine exceeds its memory

  Scenario: An adapter is assumed to be loaded before reports show it
    Given loads take 200 ms and reports of engines are 300 ms old
    When the dispatcher runs for 500 ms
    And a request waits for adapter "a/x"
    And the dispatcher runs for 150 ms
    Then one engine is assumed to hold adapter "a/x"
    When the dispatcher runs for 1000 ms
    Then one engine is assumed to hold adapter "a/x"

  Scenario: An evicted adapter is assumed to be unloaded as soon as the engine confirms it
    Given loads take 200 ms and reports of engines are 300 ms old
    And every engine holds the adapters "a/1 a/2"
    When the dispatcher runs for 1000 ms
    And a request waits for adapter "a/x"
    And the dispatcher runs for 200 ms
    Then one engine is assumed to hold adapter "a/x"
