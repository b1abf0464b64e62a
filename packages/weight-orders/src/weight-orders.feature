Feature: Orders are given one at a time to each engine, and settled before the next

  Background:
    Given engines "e1 e2" of 150 MB that hold "a" and models "a b c" of 100 MB
    And a giver that holds the lease under epoch 4

  Scenario: A model that requests wait for takes the place of another
    When requests wait for "b"
    And 3000 ms go by in the giver
    Then one engine holds "b" and one holds "a"
    And nothing was overfilled

  Scenario: An order without an answer that is never carried out is given again
    Given the next 2 orders are lost
    When requests wait for "b"
    And 9000 ms go by in the giver
    Then one engine holds "b" and one holds "a"
    And nothing was overfilled

  Scenario: A long load that an engine has taken is not ordered again while it runs
    Given loads take 5000 ms and reports of engines are 200 ms old
    When requests wait for "b"
    And 7000 ms go by in the giver
    Then one engine holds "b" and one holds "a"
    And no load was ordered after one was taken

  Scenario: Orders that are carried out late find another count and change nothing
    Given the next 3 orders are carried out 2500 ms late and not answered
    When requests wait for "b"
    And 15000 ms go by in the giver
    Then one engine holds "b" and one holds "a"
    And nothing was overfilled

  Scenario: Without the lease nothing is ordered
    Given the giver loses the lease
    When requests wait for "b"
    And 3000 ms go by in the giver
    Then no order was given

  Scenario: An order that an engine refuses by its fence ends the tenure
    Given the engines have seen epoch 9
    When requests wait for "b"
    And 1000 ms go by in the giver
    Then the lease is told that epoch 4 was refused

  Scenario: A box that holds the lease again asks engines before it orders
    Given 1 engines "x" of 150 MB that hold nothing, and loads from the store at 100 a second
    When 600 ms go by in the giver
    And the giver loses the lease
    And another holder has "a" loaded into "x0" and tells of it while the load is under way
    And engines answer after 200 ms
    And the giver holds the lease again under epoch 6
    And requests wait for "b"
    And 1000 ms go by in the giver
    Then nothing was overfilled
    When 3000 ms go by in the giver
    Then one engine holds "b"
    And nothing was overfilled

  Scenario: The weight store's rate is kept, also after a takeover
    Given 12 engines "x" of 150 MB that hold nothing, and loads from the store at 2 a second
    When requests wait for "a b c" on many engines and 20000 ms go by in the giver
    Then in no 5 s more than 11 loads from the store began

  Scenario: Of two copies on their way the sooner one counts
    Given 2 engines "x" of 150 MB that hold nothing, and loads from the store at 100 a second
    When many requests wait for "a"
    And 180 ms go by in the giver
    Then "a" is expected within 500 ms

  Scenario: Through lost, late and refused orders no engine is overfilled and no load goes on a guess
    Then for 25 seeds of lost and late orders nothing is overfilled

  Scenario: An adapter counts as there soon after its load was taken, before reports show it
    Given loads take 200 ms and reports of engines are 300 ms old
    When 500 ms go by in the giver
    And a request waits for adapter "a/x"
    And 150 ms go by in the giver
    Then one engine is believed to hold adapter "a/x"
    When 1000 ms go by in the giver
    Then one engine is believed to hold adapter "a/x"

  Scenario: An adapter that makes way is taken to be gone as soon as the engine says so
    Given loads take 200 ms and reports of engines are 300 ms old
    And every engine holds the adapters "a/1 a/2"
    When 1000 ms go by in the giver
    And a request waits for adapter "a/x"
    And 200 ms go by in the giver
    Then one engine is believed to hold adapter "a/x"
