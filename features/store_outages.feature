Feature: The loss of daemons is no outage of the store

  Scenario Outline: No loss of daemons delays the removal of a replica
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And 2 replicas are registered
    And all have run for 4 s
    When this fails: <failure>
    And the entry of replica r0 is removed <later> s later
    Then no daemon in touch uses r0 for longer than <limit> s

    Examples:
      | daemons | limit | failure                                  | later |
      | 9       | 2.0   | nothing                                  | 0.0   |
      | 9       | 2.0   | the dispatcher is frozen                 | 0.0   |
      | 9       | 2.0   | the dispatcher is frozen                 | 0.2   |
      | 9       | 2.0   | the dispatcher is frozen                 | 0.7   |
      | 9       | 2.0   | the dispatcher is frozen                 | 1.2   |
      | 9       | 2.0   | the dispatcher is killed                 | 0.05  |
      | 9       | 2.0   | the dispatcher is cut off                | 0.2   |
      | 9       | 2.0   | the dispatcher gets no answers           | 0.2   |
      | 9       | 2.0   | the dispatcher loses the store           | 0.2   |
      | 9       | 2.0   | the dispatcher loses the store in silence | 0.2  |
      | 70      | 3.0   | the dispatcher is frozen                 | 0.0   |
      | 70      | 3.0   | the dispatcher is frozen                 | 0.7   |
      | 70      | 3.0   | the dispatcher is killed                 | 0.05  |
      | 70      | 3.0   | the dispatcher and a relay are frozen    | 0.2   |
      | 70      | 3.0   | the dispatcher and a relay are killed    | 0.2   |
      | 70      | 3.0   | the dispatcher and all relays are killed | 0.2   |
      | 70      | 3.0   | both relays of a zone are frozen         | 0.2   |

  Scenario Outline: A daemon that wakes from a freeze reports no outage
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And 2 replicas are registered
    And all have run for 4 s
    When the dispatcher is frozen for <freeze> s
    And the entry of replica r0 is removed <later> s later
    Then no daemon in touch uses r0 for longer than <limit> s

    Examples:
      | daemons | freeze | later | limit |
      | 9       | 3.2    | 0.0   | 2.0   |
      | 9       | 3.2    | 0.5   | 2.0   |
      | 9       | 1.3    | 0.1   | 2.0   |
      | 70      | 4.0    | 0.1   | 3.0   |

  Scenario Outline: Refusals by rate are no outage
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And 2 replicas are registered
    And all have run for 4 s
    When the store refuses all calls by rate for <duration> s
    And the entry of replica r0 is removed 0.0 s later
    Then no daemon in touch uses r0 for longer than <limit> s

    Examples:
      | daemons | duration | limit |
      | 9       | 1.2      | 2.0   |
      | 70      | 1.2      | 3.0   |

  # A store counts as stable 3 s after its return, and a removal is due 2 s after that.
  Scenario Outline: Entries that expired in an outage are kept until they can be back
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And 2 replicas are registered
    And all have run for 4 s
    When the store is down for 6 s while all entries expire and <event>
    And the entry of replica r0 is back 1.8 s later
    Then no daemon that has run all the time has stopped using r0
    And all daemons have stopped using r1 within 5 s of the store's return

    Examples:
      | daemons | event                                    |
      | 9       | nothing else fails                       |
      | 9       | the dispatcher is killed                 |
      | 9       | the dispatcher is frozen                 |
      | 70      | nothing else fails                       |
      | 70      | the dispatcher is killed                 |
      | 70      | the dispatcher and a relay are killed    |
      | 70      | the dispatcher and all relays are killed |
      | 70      | both relays of a zone are frozen         |

  Scenario Outline: Which gaps between answers of the store are outages
    Given heartbeats each 1.2 s
    When these follow: <events>
    Then the store is known to have returned at <returned>

    Examples:
      | events                                                      | returned |
      | answer 0, answer 5                                          | never    |
      | answer 0, store fails 1, answer 5                           | 5        |
      | answer 0, store fails 1, answer 1.5                         | never    |
      | answer 0, daemon fails 1, answer 5                          | never    |
      | answer 0, rate refusal 1, answer 5                          | never    |
      | answer 0, frozen fails 1, answer 5                          | never    |
      | answer 0, told of 4.5 at 5, answer 5                        | 4.5      |
      | answer 0, store fails 1, told of 4.5 at 5, answer 5         | 4.5      |
      | answer 3.5, told of 4.5 at 5, answer 5                      | never    |
      | answer 0, store fails 1, answer 5, store fails 6, answer 6.5 | 5       |
      | store fails 1, answer 2                                     | 2        |
