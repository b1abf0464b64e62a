Feature: Boxes that allocate an account's limit, and the shares of isolated boxes

  Scenario: High-capacity boxes allocate, with the same choice on every box with the same view
    Given boxes of capacity "4 4 4 1 1" of which the first is leaving
    Then 50 accounts are allocated by high-capacity boxes that are not leaving
    And each of those boxes allocates for at least 10 accounts
    And removing one of those boxes moves only its own accounts

  Scenario Outline: Boxes of capacity <capacities> have shares that add up to one
    Then boxes of capacity "<capacities>" have the shares "<parts>"

    Examples:
      | capacities | parts                |
      | 2 2        | 0.5 0.5              |
      | 3 1        | 0.75 0.25            |
      | 4 4 1 1    | 0.375 0.375 0.125 0.125 |
      | 1          | 1                    |

  Scenario Outline: A box that knew <most> boxes and receives heartbeats from <heard> reaches the majority: <answer>
    Then a box that knew <most> boxes at once and receives heartbeats from <heard> others reaches the majority: "<answer>"

    Examples:
      | most | heard | answer |
      | 7    | 6     | yes    |
      | 7    | 3     | yes    |
      | 7    | 2     | no     |
      | 60   | 20    | no     |
      | 60   | 30    | yes    |

  Scenario: Accounts beyond the limit share a metric series
    Then accounts "a b c a d b" with at most 2 series get the labels "a b other a other b"

  # Guards against an urgent kind of request that waits at engines behind the less urgent kinds of its account.
  Scenario: The priority of an account comes before that of the route, which orders the requests of equal accounts
    Then a route of priority 2 has rank 2 without an account
    And a route of priority 2 has rank 1 for an account of priority 1
    And a route of priority 0 has rank 3 for an account of priority 1 if routes are ranked
    And a route of priority 2 has rank 5 for an account of priority 1 if routes are ranked
    And a route of priority 0 has rank 6 for an account of priority 2 if routes are ranked
