Feature: Number of replicas

  Scenario Outline: Missing capacity is ordered within a second
    Given replicas <replicas>, limits 0 to 6 and prices a:1 b:1.2 c:1.5
    And the daemons have seen the start
    When these events happen: <events>
    And the scalers run for 0.75 s
    Then the orders are <orders>

    Examples: lost replicas
      | replicas    | events                                     | orders    |
      | a:3 b:3 c:3 | nothing                                    | none      |
      | a:3 b:3 c:3 | a loses one                                | b:4       |
      | a:3 b:3 c:3 | b loses one                                | a:4       |
      | a:3 b:3 c:3 | a loses one, a loses one, b loses one      | c:6       |
      | a:3 b:3 c:3 | a has a slow one                           | a~:1      |
      | a:6 b:3 c:3 | b loses one                                | c:4       |
      | a:6 b:6 c:6 | b loses one                                | b:6       |

    Examples: a reclaimed zone
      | replicas          | events                                 | orders    |
      | a:3 b:3 a~:2      | a~ is reclaimed                        | b~:2      |
      | a:3 b:3 a~:2 b~:2 | a~ is reclaimed                        | b~:3 c~:1 |
      | a:3 b:3 c:3 a~:2  | a~ is reclaimed, b~ is dry, c~ is dry  | b~:2! c~:2! a:5 |

    Examples: a zone that has none available
      | replicas    | events                                     | orders    |
      | a:3 b:3 c:3 | a loses one, b is dry                      | b:4! c:4  |
      | a:3 b:3 c:3 | a loses one, b is dry, c is dry            | b:4! c:4! a:3 |

  Scenario: A wave of the load causes no order
    Given replicas a:4 b:4, limits 1 to 6 and prices a:1 b:1.2
    And callers keep 5.6 replicas busy
    And their load swings by 15 %
    When the scalers run for 66 s
    Then the orders are none

  Scenario: A step of the load is followed once, and given back slowly
    Given replicas a:4 b:4, limits 1 to 12 and prices a:1 b:1.2
    And callers keep 4 replicas busy
    And their load swings by 15 %
    And the daemons have seen the start
    When callers keep 9 replicas busy
    And the scalers run for 30 s
    Then there are at most 4 orders
    When the scalers run for 33 s
    Then the orders are none
    When callers keep 4 replicas busy
    And the scalers run for 9 s
    Then the orders are none
    When the scalers run for 120 s
    Then 8 replicas serve

  Scenario: Replicas of the start are given back only when the rest holds twice the load
    Given replicas a:2 b:2, limits 1 to 6 and prices a:1 b:1.2
    And callers keep 1.4 replicas busy
    And the daemons have seen the start
    When the scalers run for 60 s
    Then 3 replicas serve
    And the orders are b:1

  Scenario Outline: The regular kind keeps the base load
    Given replicas <replicas>, limits 0 to 6 and prices a:1 b:1.2
    And callers keep <load> replicas busy
    And the daemons have seen the start
    When the scalers run for 10 s
    Then the orders are <orders>

    Examples:
      | replicas    | load | orders |
      | a:1 b~:1    | 0    | b~:0   |
      | a:2 b~:3    | 1.2  | b~:2   |
      | a:3 b~:3    | 1.2  | a:2    |

  Scenario: A zone keeps its minimum
    Given replicas a:2 b:2, limits 2 to 6 and prices a:1 b:1.2
    And the daemons have seen the start
    When the scalers run for 60 s
    Then the orders are none

  Scenario Outline: A step that cannot be in time otherwise is given more replicas
    Given replicas a:2 b:2, limits 1 to 4 and prices a:1 b:1.2
    And the daemons have seen the start
    When a step of <tokens> tokens in <items> items is due in <due> s
    And the scalers run for 1.25 s
    Then the orders are <orders>

    Examples:
      | tokens | items | due | orders     |
      | 2000   | 40    | 8   | none       |
      | 3000   | 40    | 9.5 | a~:1       |
      | 4000   | 40    | 9.5 | a~:2 b~:1  |
      | 4000   | 16    | 9.5 | none       |
      | 4000   | 40    | 4.5 | none       |

  Scenario: A zone that has none available is asked less and less often
    Given replicas a:3, limits 0 to 3 and prices a:1
    And the daemons have seen the start
    When these events happen: a is dry, a~ is dry, a loses one
    And the scalers run for 2 s
    Then the orders are a:3! a~:1!
    When the scalers run for 2 s
    Then the orders are a:3! a~:1!
    When the scalers run for 1.75 s
    Then the orders are none
    When the scalers run for 12.5 s
    Then the orders are a:3! a~:1! a:3! a~:1!
    When these events happen: a has stock again
    And the scalers run for 8 s
    Then the orders are a:3

  Scenario: Nothing is ordered from an old list of replicas
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And the daemons have seen the start
    When the list of replicas is 2.5 s old
    And these events happen: a loses one
    And the scalers run for 5 s
    Then the orders are none
    When the list of replicas is 0.2 s old
    And the scalers run for 0.5 s
    Then the orders are b:4

  Scenario: A list of replicas from before a suspension is old, whatever its age says
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And the daemons have seen the start
    When these events happen: a loses one
    And the holder's VM is suspended for 2.5 s
    And the scalers run for 0.25 s
    Then the orders are none
    When the scalers run for 0.5 s
    Then the orders are b:4

  Scenario: Without the demand only missing replicas are ordered
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And the daemons have seen the start
    When the dispatcher does not answer
    And the scalers run for 3 s
    And callers keep 20 replicas busy
    And the scalers run for 20 s
    Then the orders are none
    When these events happen: b loses one
    And the scalers run for 0.5 s
    Then the orders are a:4

  Scenario: An order whose answer was lost is repeated with the same target
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And the daemons have seen the start
    When the answers to 2 orders are lost
    And these events happen: a loses one
    And the scalers run for 8 s
    Then no order for a pool follows another within 1 s
    And the orders are b:4? b:4? b:4
    And 6 replicas serve

  Scenario: A successor in the middle of an order does not order twice
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And callers keep 4 replicas busy
    And the daemons have seen the start
    When the answers to 1 orders are lost
    And these events happen: a loses one
    And the scalers run for 0.5 s
    And the other daemon takes the duty over after 0.5 s
    And the scalers run for 20 s
    Then the orders are b:4? b:4
    And 6 replicas serve

  Scenario: The replicas of a slow time are given back
    Given replicas a:3 b:3, limits 0 to 6 and prices a:1 b:1.2
    And callers keep 4 replicas busy
    And the daemons have seen the start
    When these events happen: a has a slow one
    And the scalers run for 6 s
    Then the orders are a~:1
    When the slow replicas recover
    And the scalers run for 9 s
    Then the orders are none
    When the scalers run for 3 s
    Then the orders are a~:0

  Scenario: A successor does not order again what was given back
    Given replicas a:2 b:2, limits 1 to 6 and prices a:1 b:1.2
    And callers keep 1.4 replicas busy
    And the daemons have seen the start
    When the scalers run for 20 s
    Then the orders are b:1
    When the other daemon takes the duty over after 4 s
    And the scalers run for 20 s
    Then the orders are none

  Scenario: Only regular replicas are ordered where spot ones are not cheaper
    Given replicas a:2 b:2, limits 1 to 6 and prices a:1 b:1.2
    And spot replicas cost 100 % of the price
    And the daemons have seen the start
    When callers keep 4 replicas busy
    And the scalers run for 2 s
    Then the orders are a:4

  Scenario Outline: Arrivals at all daemons are added up
    Given <count> daemons, each with 2 requests a second that keep 0.5 slots busy
    When each reports its arrivals in its pings, <silent> of them too long ago
    Then <reports> reports have arrived, and the arrivals are within <percent> % of <rate> a second

    Examples:
      | count | silent | reports | rate | percent |
      | 9     | 0      | 9       | 18   | 0       |
      | 70    | 10     | 70      | 120  | 0       |
      | 1700  | 0      | 123     | 3400 | 10      |

  Scenario Outline: The demand of open steps
    Given a step with groups <groups> of which the trainer waits for <target>, due in 6 s
    And engines with <slots> slots and memory for <memory> tokens, one event of 10 tokens every 50 ms
    When the demand is measured
    Then <tokens> tokens in <items> items are left, and one engine does <rate> tokens a second

    Examples:
      | groups    | target | slots | memory | tokens | items | rate |
      | a:100,50  | 0      | 4     | 0      | 150    | 2     | 800  |
      | a:100,50 b:10,10 | 1 | 4    | 0      | 20     | 2     | 800  |
      | a:100,100 | 0      | 4     | 100    | 200    | 2     | 400  |

  Scenario: Limits, prices and kinds are decoded, and their absence changes nothing
    When a configuration and entries with and without the fields of scaling are decoded
    Then only the service with limits is scaled
    And the entries have their kinds and the time that they have left

  Scenario: The platform reclaims the spot engines of a zone while a job runs
    Given a platform that grants engines, 1 regular and 1 spot, and 3 daemons
    And one of the daemons orders replicas
    And the engines send an event every 150 ms
    When job "j1" with 3 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And the platform has no spot engines in zone-b and reclaims engine-2 in 1500 ms
    Then a replacement is ordered within 1000 ms, after a refusal as the regular kind
    And job "j1" completes at edge-2
    And every result of "j1" is its item's complete output
    And a granted engine has run items
    And the dispatcher answers with the demand of the engines
    And no rule of the duties is broken
