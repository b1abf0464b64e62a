Feature: Which box hands out an account's limit, and what a box may do alone

  Scenario: Strong boxes hand out, alike in the view of all that know the same boxes
    Given boxes of capacity "4 4 4 1 1" of which the first is leaving
    Then 50 accounts are handed out by strong boxes that are not leaving
    And each of those hands out for 10 accounts or more
    And a box that goes moves only its own accounts

  Scenario Outline: Boxes of capacity <capacities> have parts that add up to one
    Then boxes of capacity "<capacities>" have the parts "<parts>"

    Examples:
      | capacities | parts                |
      | 2 2        | 0.5 0.5              |
      | 3 1        | 0.75 0.25            |
      | 4 4 1 1    | 0.375 0.375 0.125 0.125 |
      | 1          | 1                    |

  Scenario Outline: A box that knows <most> boxes and hears <heard> hears most: <answer>
    Then a box that knew <most> boxes at once and hears <heard> others hears most: "<answer>"

    Examples:
      | most | heard | answer |
      | 7    | 6     | yes    |
      | 7    | 3     | yes    |
      | 7    | 2     | no     |
      | 60   | 20    | no     |
      | 60   | 30    | yes    |

  Scenario: Accounts beyond the first ones share a series
    Then of accounts "a b c a d b" the labels for 2 series are "a b other a other b"
