Feature: Each invariant check reports a violation, and passes without one

  Scenario: A request that may not be repeated runs twice
    Given a request "r1" that may not be repeated, answered whole with 200
    And "r1" started at "p1"
    Then the check "at most once" passes
    When "r1" started at "p2"
    Then the check "at most once" reports "r1"

  Scenario: A rejected request runs
    Given a request "r1" that may be repeated, rejected with 503
    Then the check "not run is true" passes
    When "r1" started at "p1"
    Then the check "not run is true" reports "r1"

  Scenario: A target receives a header that a caller forged
    Given "r1" started at "p1" with the header value "own"
    Then the check "callers do not steer targets" passes
    Given "r2" started at "p1" with the header value "forged"
    Then the check "callers do not steer targets" reports "r2"

  Scenario Outline: A target receives <what>
    Given a request "r1" of the account "a"
    And "r1" started at "p1" with account "a" and the header value "x"
    Then the check "requests belong to accounts" passes
    Given a request "r2" <whose>
    And "r2" started at "p1" with account "<told>" and the header value "<value>"
    Then the check "requests belong to accounts" reports "r2"

    Examples:
      | what                                 | whose                        | told | value |
      | a request under another name         | of the account "a"           | b    | x     |
      | a key                                | of the account "a"           | a    | key   |
      | a request of a key that nobody holds | with a key that nobody holds | a    | x     |

  Scenario: A caller receives the answer to another request
    Given a request "r1" that may be repeated, answered whole with 200
    Then the check "whole and own answers" passes
    Given a request "r2" with a complete answer to another request
    Then the check "whole and own answers" reports "r2"

  Scenario: A stream is broken off after a part of an event, or repeats one
    Given a stream "r1" that is broken off after whole events
    Then the check "one stream" passes
    Given a stream "r2" that is broken off after a part of an event
    Then the check "one stream" reports "r2"

  Scenario: Two lease holders send orders in one epoch
    Given an order from "b1" in epoch 4 at "e1"
    And an order from "b2" in epoch 5 at "e1"
    Then the check "one order giver" passes
    Given an order from "b3" in epoch 5 at "e2"
    Then the check "one order giver" reports "epoch 5"

  Scenario: Two lease holders take turns at one engine
    Given an order from "b1" in epoch 4 at "e1" after 0 ms
    And an order from "b2" in epoch 5 at "e1" after 1000 ms
    And an order from "b1" in epoch 6 at "e2" after 1500 ms
    And an order from "b1" in epoch 6 at "e1" after 3100 ms
    Then the check "no turns" passes
    Given an order from "b2" in epoch 7 at "e1" after 3500 ms
    Then the check "no turns" reports "b2, b1 and b2 within 2500 ms"

  Scenario: Two lease holders take turns while one of them is disturbed
    Given an order from "b3" in epoch 4 at "e1" after 0 ms
    And an order from "b2" in epoch 5 at "e1" after 100 ms
    And an order from "b3" in epoch 6 at "e1" after 300 ms
    Then the check "no turns" passes

  Scenario: A box claims the lease of a holder in touch
    Given "b1" claims the lease after 0 ms
    And the lease is released after 100 ms
    And "b3" claims the lease after 200 ms
    And "b2" claims the lease after 300 ms
    Then the check "holders keep the lease" passes
    Given "b1" claims the lease after 900 ms
    Then the check "holders keep the lease" reports "b1 claimed it from b2"

  Scenario: An incarnation of a box loses its configuration
    Given a probe of "b1" in life 1 that knows version 3
    And a probe of "b1" in life 2 that does not know version 3
    Then the check "a configuration does not revert" passes
    Given a probe of "b1" in life 1 that does not know version 3
    Then the check "a configuration does not revert" reports "version 3"

  Scenario: A leaving target gets a new request
    Given "r1" started at "p1"
    Then the check "a leaving target gets nothing new" passes
    When 10 ms later "r2" started at "p1"
    Then the check "a leaving target gets nothing new" reports "r2"

  Scenario: A request is not answered in a period without faults
    Given a request "r1" that may be repeated, answered whole with 200
    Then the check "every request is answered" passes
    Given a request "r2" that may be repeated, rejected with 503
    Then the check "every request is answered" reports "r2"

  Scenario: Most requests at a box that was cut off from all targets fail
    Given 60 requests at "b1" and 60 at "b2", of which 30 and 5 fail
    Then the check "cut boxes serve" passes
    When the box "b1" was cut off from all targets meanwhile
    Then the check "cut boxes serve" reports "30 of 60 at b1, 55 of 60 elsewhere"

  Scenario Outline: Requests at a box that was cut off from all targets fail, <why>
    Given 60 requests at "b1" and 60 at "b2", of which <there> and <elsewhere> fail
    When the box "b1" was cut off from all targets meanwhile
    Then the check "cut boxes serve" passes

    Examples:
      | why                              | there | elsewhere |
      | but no more than is tolerated    | 12    | 0         |
      | but two thirds as many as others | 30    | 15        |

  Scenario: A seed determines the faults, which overlap and end in time
    Then 100 faults drawn from one seed are the same, end in time, and overlap

  Scenario: A link blocks traffic and resets connections
    Given a link to an echo server
    Then the echo server answers through it
    When the link is silent
    Then nothing is received until the link is open again
    When the link is resetting
    Then its connections are reset

  Scenario: A link that refuses new connections keeps existing ones
    Given a link to an echo server
    Then the echo server answers through it
    When the link refuses new connections
    Then a new connection to it is refused
    And the echo server answers through it

  Scenario: New connections to addresses of an unanswering listener hang until it releases them
    Given a link to an echo server
    Then the echo server answers through it
    When the link is hanging, and an unanswering listener holds its address
    Then a new connection to it is neither established nor refused
    When the listener releases the address, and the link is open again
    Then the link accepts connections again
    And the echo server answers through it

  Scenario: A link closes both connections when the caller disconnects
    Given a link to an echo server
    Then the echo server answers through it
    When the caller closes its connection
    Then the connection to the echo server is closed as well

  Scenario: A link passes on a reset that arrives behind unread bytes
    Given a link to a server that resets its connections behind 4 bytes
    Then 50 connections through it are reset, none is ended

  Scenario: A link listens again after another process has occupied its port
    While a link refuses connections, another process can bind its port; listening then fails with EADDRINUSE and is retried.
    Given a link to an echo server
    When the link is refusing
    And another process listens on its port until after the link is open again
    Then the link accepts connections again
