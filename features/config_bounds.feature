Feature: A configuration is in force in time, whatever its ways are like

  # Guards against time-outs of several silent sources that add up.
  Scenario Outline: Sources fall silent just before a configuration is written
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    When this fails at any moment before a change: <failure>
    Then all daemons in touch have the change within <limit> s

    Examples: zones with relays
      | daemons | limit | failure                                                     |
      | 27      | 3.0   | both relays of a zone are frozen                            |
      | 27      | 3.0   | both relays of a zone are cut off                           |
      | 27      | 3.0   | the dispatcher and both relays of a zone are frozen         |
      | 27      | 3.0   | the dispatcher and both relays of a zone are cut off        |
      | 27      | 3.0   | the dispatcher and all relays are frozen                    |
      | 27      | 3.0   | the dispatcher and all relays are cut off                   |
      | 27      | 3.0   | the dispatcher and both relays of a zone get no answers     |
      | 27      | 3.0   | the dispatcher and all relays lose the store in silence     |
      | 27      | 3.0   | a half of the daemons are frozen, relays and dispatcher too |

    Examples: small zones
      | daemons | limit | failure                                                     |
      | 9       | 2.0   | the dispatcher is frozen                                    |
      | 9       | 2.0   | the dispatcher is cut off                                   |
      | 9       | 2.0   | the dispatcher gets no answers but is reached               |
      | 9       | 2.0   | the dispatcher loses the store in silence                   |
      | 9       | 2.0   | a half of the daemons are frozen, the dispatcher too        |

  Scenario Outline: Sources fall silent one after another
    Given 27 daemons in 3 zones, of which 3 are seeds
    When a relay, the other one and the dispatcher of its zone's daemons freeze, each <gap> s later
    Then all daemons in touch have each change of this time within 3 s

    Examples:
      | gap |
      | 0.4 |
      | 0.9 |
      | 1.4 |

  Scenario Outline: A daemon returns while all its sources are silent
    Given 36 daemons in 3 zones, of which 3 are seeds
    When a daemon <state> for <duration> s, and all its sources are frozen from its return on
    Then it has the changes of this time within 4 s of its return

    Examples:
      | state          | duration |
      | is frozen      | 1.2      |
      | is frozen      | 5.0      |
      | is cut off     | 1.2      |
      | is cut off     | 9.0      |
      | gets no answer | 9.0      |

  Scenario Outline: The store drops its history after changes that no watch has heard of
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    When the store's watches hear nothing for 1 s, and its history is gone then
    Then all daemons in touch have each change of this time within <limit> s

    Examples:
      | daemons | limit |
      | 27      | 3.0   |
      | 9       | 2.0   |

  # Guards against a lost history being taken for a store that does not answer.
  Scenario Outline: Sources fall silent right after the store has lost its history
    Given <daemons> daemons in 3 zones, of which 3 are seeds
    When the store's history is gone, and <gap> s later <failure>
    Then all daemons in touch have each change of this time within <limit> s

    Examples:
      | daemons | limit | gap | failure                                             |
      | 9       | 2.0   | 0   | the dispatcher is frozen                            |
      | 9       | 2.0   | 0.1 | the dispatcher is frozen                            |
      | 9       | 2.0   | 0.6 | the dispatcher is frozen                            |
      | 9       | 2.0   | 0.1 | the dispatcher is cut off                           |
      | 9       | 2.0   | 0.1 | a half of the daemons are frozen, the dispatcher too |
      | 27      | 3.0   | 0   | the dispatcher and both relays of a zone are frozen |
      | 27      | 3.0   | 0.1 | the dispatcher and all relays are frozen            |
      | 27      | 3.0   | 0.6 | the dispatcher and all relays are cut off           |

  Scenario Outline: Which ends of calls show that the store does not answer
    When a daemon's calls to the store end like this: <calls>
    Then the daemon <verdict> ask the store again at once

    Examples:
      | calls                                     | verdict |
      | 0 0.1 answer                              | may     |
      | 0 0.1 history gone                        | may     |
      | 0 0.1 failure                             | may not |
      | 0 0.7 failure, 0.1 0.2 answer             | may     |
      | 0 0.7 failure, 0.1 0.2 history gone       | may     |
      | 0 0.2 answer, 0.3 0.7 failure             | may not |
      | 0 0.1 history gone, 0.3 0.7 failure       | may not |

  # Guards against an answer that a cut held up being taken for a recent confirmation.
  Scenario Outline: An answer that is held up on its way is dated from when it was given
    Given a daemon whose copy was confirmed <age> s before it answers
    When its answer, given after <waited> s and <content>, is <held> s on its way
    Then the copy of the daemon that asked is <copy_age> s old

    Examples:
      | age | waited | content          | held | copy_age |
      | 0.2 | 0.5    | without a change | 0.0  | 0.2      |
      | 0.2 | 0.5    | without a change | 0.9  | 1.1      |
      | 0.0 | 0.1    | with a change    | 1.3  | 1.3      |
