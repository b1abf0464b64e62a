Feature: Orders are checked again before each send

  # Guards against a resent unload that removes a copy which has become the last one.
  Scenario: A lost unload is sent again only while another copy serves the model
    Given engines "e1 e2" that serve the model
    And an unload of the model on "e1" that is lost on its way
    When engine "e2" goes silent and the order is due again
    Then 1 order was sent
    When engine "e2" reports again and the order is due again
    Then 2 orders were sent

  # Guards against an order that reaches an engine without fences after another box may have got the lease.
  Scenario Outline: An order that waits for its connection is not written if <event> meanwhile
    Given engines "e1 e2" without fences that serve the model
    When an unload of the model on "e1" waits 300 ms for its connection, and after 100 ms <event>
    Then 0 orders were sent
    And the order on "e1" is logged as withheld

    Examples:
      | event                             |
      | the lease expires                 |
      | another box holds the lease       |
      | its intent is void                |
      | engine "e2" is not heard any more |

  Scenario: An order that waits for its connection is written if it may still be sent
    Given engines "e1 e2" without fences that serve the model
    When an unload of the model on "e1" waits 300 ms for its connection
    Then 1 order was sent
