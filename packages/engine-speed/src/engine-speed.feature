Feature: Speeds of engines, learned by all boxes together

  # Guards against a quarter of the engines at half speed getting as many streams as the others.
  Scenario: Engines at half speed are found from a few streams that each box sees
    Given 12 engines of which 3 decode at half speed
    When 20 boxes each report one stream of each engine
    Then the slow engines have a speed between 0.4 and 0.65
    And the other engines have a speed between 0.85 and 1.15

  # Guards against prefills of other prompts, which lengthen single intervals, making an engine look slow.
  Scenario: A few long intervals do not make an engine slow
    Given 12 engines of which 0 decode at half speed
    When 20 boxes each report one stream of each engine, with 2 long intervals of 10 on engine 1
    Then the other engines have a speed between 0.85 and 1.15

  Scenario: A stream with few intervals is no observation
    Given 12 engines of which 0 decode at half speed
    When a stream with 4 intervals ends
    Then no observation is reported

  # Guards against each takeover of the lease forgetting which engines are slow.
  Scenario: A box continues from the speeds that the lease holder has reported
    Given 12 engines of which 3 decode at half speed
    When 20 boxes each report one stream of each engine
    And another box applies the speeds
    Then that box knows the slow engines
