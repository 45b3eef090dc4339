Feature: Daemons follow the store through few others

  Scenario Outline: Two daemons follow on behalf of a large zone
    Given <daemons> listed daemons in <zones> zones, the dispatcher among them
    Then each zone of more than 8 daemons has 2 candidates, all others none
    And all members of a zone agree on them in any order of the list
    And a candidate has the most cores of its zone and is not the dispatcher
    And the loss of one daemon changes no zone's candidates unless it is one of them

    Examples:
      | daemons | zones |
      | 9       | 3     |
      | 9       | 1     |
      | 70      | 3     |
      | 1700    | 18    |

  Scenario Outline: The calls of a start do not grow with the daemons
    Given <daemons> daemons in 3 zones, of which <seeds> are seeds
    When all start within 0.3 s, <before>
    Then all have the configuration within 1.5 s
    And within 4 s the store is called at most <calls> times beside one entry for each

    Examples:
      | daemons | seeds | before                          | calls |
      | 9       | 3     | for the first time              | 60    |
      | 36      | 3     | for the first time              | 80    |
      | 70      | 3     | for the first time              | 80    |
      | 70      | 3     | after all were killed           | 110   |
      | 70      | 3     | while the first seed is down    | 80    |
      | 70      | 3     | while the first seed is cut off | 80    |

  Scenario Outline: A starting daemon gets the configuration whatever its seeds are like
    Given 9 daemons in 3 zones, of which 3 are seeds
    When all but one have run for 4 s, then its seeds are <state>
    And the remaining daemon starts
    Then it has the newest configuration within <limit> s
    And it has never applied an older one

    Examples:
      | state                       | limit |
      | as they were                | 0.2   |
      | down                        | 0.7   |
      | cut off                     | 0.7   |
      | frozen                      | 0.7   |
      | behind and without a store  | 0.7   |

  Scenario Outline: A configuration is in force within 3 s whatever fails before it
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And all have run for 4 s
    When this fails: <failure>
    And a configuration is written <later> s later
    Then all daemons that run and reach another have it within 3 s
    And no daemon has ever applied an older one

    Examples:
      | daemons | failure                                                  | later |
      | 70      | nothing                                                  | 0.0   |
      | 70      | a relay is killed                                        | 0.0   |
      | 70      | a relay is cut off                                       | 0.0   |
      | 70      | a relay is cut off                                       | 1.2   |
      | 70      | both relays of a zone are killed                         | 0.0   |
      | 70      | both relays of a zone are cut off                        | 0.0   |
      | 70      | the dispatcher is killed                                 | 0.0   |
      | 70      | the dispatcher is cut off                                | 0.0   |
      | 70      | the dispatcher and a relay are killed                    | 0.0   |
      | 70      | the dispatcher and a relay are cut off                   | 0.0   |
      | 70      | the dispatcher and a relay are cut off                   | 0.7   |
      | 70      | the dispatcher and all relays are killed                 | 0.0   |
      | 70      | the dispatcher and all relays are cut off                | 0.0   |
      | 70      | the dispatcher and a relay are frozen                    | 0.0   |
      | 70      | a relay gets no answers but is reached                   | 1.5   |
      | 70      | both relays of a zone get no answers but are reached     | 1.5   |
      | 70      | the dispatcher and a relay get no answers                | 0.0   |
      | 9       | the dispatcher gets no answers but is reached            | 0.0   |
      | 70      | the dispatcher loses the store                           | 0.0   |
      | 70      | the dispatcher and all relays lose the store             | 0.0   |
      | 70      | the dispatcher and all relays lose the store in silence  | 0.0   |
      | 70      | the dispatcher and all relays lose the store in silence  | 2.5   |
      | 70      | a half of the daemons lose the store in silence          | 0.0   |
      | 9       | the dispatcher is cut off                                | 0.0   |
      | 9       | the dispatcher is frozen                                 | 0.0   |
      | 9       | the dispatcher loses the store in silence                | 0.0   |

  Scenario Outline: A daemon that was frozen serves no old copy
    Given 70 daemons in 3 zones, of which 3 are seeds
    And all have run for 4 s
    When <frozen> is frozen while two configurations are written, and <state> after <freeze> s
    Then it answers no other daemon as if an older copy were confirmed
    And all others have the configuration within 3 s of its return
    And no daemon has ever applied an older one

    Examples:
      | frozen         | freeze | state           |
      | a relay        | 2.0    | reaches others  |
      | a relay        | 5.0    | reaches others  |
      | a relay        | 5.0    | gets no answers |
      | the dispatcher | 2.0    | reaches others  |
      | the dispatcher | 5.0    | reaches others  |
      | the dispatcher | 5.0    | gets no answers |

  Scenario Outline: The claim is taken over as early as when all watched it
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    And all have run for 4 s
    When this fails: <failure>
    Then another daemon holds the claim within <limit> s
    And all daemons that run know its holder within 2 s
    And in the 4 s after the failure at most <calls> calls concern the claim

    Examples:
      | daemons | failure                                | limit | calls |
      | 70      | the dispatcher is killed               | 1.3   | 30    |
      | 70      | the dispatcher is cut off              | 1.8   | 30    |
      | 70      | the dispatcher and a relay are killed  | 1.3   | 30    |
      | 70      | the dispatcher and a relay are cut off | 1.8   | 40    |
      | 9       | the dispatcher is killed               | 1.3   | 30    |
      | 9       | the dispatcher is cut off              | 1.8   | 30    |

  Scenario Outline: Copies stay confirmed, at no more calls, while the store is slow
    Given 70 daemons in 3 zones, of which 3 are seeds
    And all have run for 4 s
    When the store takes <delay> s for each answer, for 3 s so far
    Then within 5 s no daemon refuses a copy, and the store is called at most 40 times

    Examples:
      | delay |
      | 0.02  |
      | 0.3   |
      | 0.5   |

  Scenario: A store that is down is not called by each daemon at each attempt
    Given 70 daemons in 3 zones, of which 3 are seeds
    And all have run for 4 s
    When the store is down for 10 s, and a configuration is written after it
    Then the store was called at most 1200 times in the outage
    And all daemons that run and reach another have it within 3 s

  Scenario Outline: Answers between daemons are compressed only where that is asked for
    Given a copy of <bytes> bytes at a daemon
    When another daemon of <release> lists it
    Then the answer is <form> and has the same objects

    Examples:
      | bytes  | release              | form       |
      | 100000 | this release         | compressed |
      | 100    | this release         | plain      |
      | 100000 | the previous release | plain      |

  Scenario Outline: A daemon of the previous release takes an answer for a dispatcher's
    Given a copy of 100 bytes at a daemon
    When another daemon of <release> watches it, where <place>
    Then the answer has status <status>

    Examples:
      | release              | place                     | status |
      | this release         | the dispatcher runs       | 200    |
      | this release         | the dispatcher is another | 200    |
      | the previous release | the dispatcher runs       | 200    |
      | the previous release | the dispatcher is another | 404    |
