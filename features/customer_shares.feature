Feature: Customers get fair shares of a congested service

  # Guards against a level that gives more than there is, or less to one than to others.
  Scenario Outline: The fair level of demands
    When customers ask for <demands> with weights <weights> and there is <capacity>
    Then the fair level is <level>

    Examples:
      | demands  | weights | capacity | level |
      | 1,2,20   | 1,1,1   | 30       | none  |
      | 1,2,20   | 1,1,1   | 10       | 7     |
      | 10,10,10 | 1,1,1   | 15       | 5     |
      | 10,10    | 3,1     | 8        | 2     |
      | 1,1,20   | 1,1,1   | 1.5      | 0.5   |
      | 5,5      | 1,1     | 0        | 0     |

  # Guards against limits for what may be chance, for a rank that goes first, for those
  # that are refused no more than others, and against a list without a bound.
  Scenario Outline: Which customers are limited
    When 10 s bring <asked> requests of ranks <ranks>, of which <served> were served
    Then the shares to admit are <admitted>

    Examples:
      | asked                | ranks     | served | admitted  |
      | 100,100,100,2000     | 5,5,5,5   | 400    | c3 0.07   |
      | 100,100,100,100      | 5,5,5,5   | 200    | none      |
      | 100,100,100,115      | 5,5,5,5   | 280    | none      |
      | 100,100,100,2000     | 5,5,5,5   | 2300   | none      |
      | 100,100,100,2000     | 5,5,5,0   | 400    | none      |
      | 100,100,100,2000     | 0,0,0,5   | 400    | c3 0.07   |
      | 200*40,9000*30       | 5         | 9000   | 24 listed |

  # Guards against newcomers that are shut out, or that take the places of others.
  Scenario Outline: The share of newcomers
    When 100 requests are served of <newcomers> newcomers and <returned> that came back
    Then <share> % of the newcomers are admitted

    Examples:
      | newcomers | returned | share |
      | 100       | 0        | 100   |
      | 100       | 40       | 70    |
      | 100       | 300      | 50    |
      | 0         | 10       | 100   |

  # Guards against a customer that takes the others' places with many requests, and
  # against refusals of others, or places that stay empty, for this.
  Scenario Outline: One of 85 customers sends 20 times its share
    Given <daemons> daemons that come and go, 85 customers and 3 replicas of 6 places
    And one customer sends 20 times as much as any other
    When <load> times the capacity is asked for during 30 s
    Then the worst tenth of the others is served at least 0.8 times as often as all of them
    And the one is served at most <most> times as many requests as each of the others
    And at least 97 % of the capacity is used
    And nobody is refused by a daemon while a place is free

    Examples:
      | daemons | load | most |
      | 9       | 1.5  | 5    |
      | 9       | 3    | 5    |
      | 70      | 1.5  | 5    |
      | 70      | 3    | 5    |
      | 1700    | 1.5  | 5    |
      | 1700    | 3    | 5    |

  # Guards against shares that outlast the congestion.
  Scenario: No refusal by share when the load is gone
    Given 70 daemons, 85 customers and 3 replicas of 6 places
    And one customer sends 20 times as much as any other
    When 3 times the capacity is asked for during 10 s and half of it for 10 s
    Then some are refused by share
    And nobody is refused by share later than 4 s after that

  # Guards against a change for deployments without customers.
  Scenario: Without customers nobody is refused by share
    Given 70 daemons, no customers and 3 replicas of 6 places
    When 3 times the capacity is asked for during 10 s
    Then nobody is refused by share and no daemon knows of shares

  # Guards against a report that does harm, and a message without a bound.
  Scenario: Reports are bounded and wrong ones are ignored
    Given a daemon with requests of 300 customers named in 40 characters
    Then its report has at most 1500 bytes
    And reports "s,1", "s,1,2,x,4,5", "s,1,2,3,4,5,a:b", ";;" count for nothing
