Feature: What crashing requests share is held back, and what others share with them is not

  Simulated days of 80 s: 13 targets behind 7 boxes, 46 sound requests a second over 4 first, 40 second and 400 third
  parts, and from the tenth second on requests of which no two are alike with one part more.

  Scenario: A part that always crashes its targets is held after few crashes
    Then with 2 requests a second whose part crashes targets with chance 1, it is held after at most 5 crashes and 0 other parts are held, for seeds 1 to 3
    And with 0.7 requests a second whose part crashes targets with chance 1, it is held after at most 5 crashes and 0 other parts are held, for seeds 1 to 3

  Scenario: A part that crashes its targets at times is held after few crashes
    Then with 3 requests a second whose part crashes targets with chance 0.5, it is held after at most 7 crashes and 0 other parts are held, for seeds 1 to 3
    And with 3 requests a second whose part crashes targets with chance 0.33, it is held after at most 9 crashes and 0 other parts are held, for seeds 1 to 3

  Scenario: A crashing part is held beside targets that crash by themselves
    Then with 2 requests a second whose part crashes targets with chance 1, and a target that crashes by itself each 2500 ms, it is held after at most 5 crashes and 0 other parts are held, for seeds 1 to 3
    And with 2 requests a second whose part crashes targets with chance 1, and waves of 40 % of the targets each 5000 ms, it is held after at most 6 crashes and 0 other parts are held, for seeds 1 to 3

  Scenario: No part is held while targets crash by themselves
    Then with a target that crashes by itself each 1000 ms, no part is held for seeds 1 to 3
    And with waves of 40 % of the targets each 5000 ms, no part is held for seeds 1 to 3
    And with waves of 70 % of the targets each 2000 ms, no part is held for seeds 1 to 1
