Feature: The use of every team stays bounded and visible

  Scenario Outline: The sum of slices never exceeds the bound
    When 4 keepers spend a bound of <bound> tokens under <faults> with seed <seed>
    Then in no period more than the bound was spent
    And without faults at least <used> percent of the bound was spent

    Examples:
      | bound | faults                        | seed | used |
      | 1000  | no faults                     | 1    | 90   |
      | 20000 | no faults                     | 2    | 98   |
      | 1000  | keepers dying                 | 3    | 0    |
      | 8000  | keepers dying                 | 4    | 0    |
      | 8000  | lost answers                  | 5    | 0    |
      | 15000 | owners failing over           | 6    | 0    |
      | 8000  | everything                    | 7    | 0    |
      | 8000  | everything                    | 8    | 0    |

  Scenario: A team can spend up to its bound and is then refused with a retry time
    Given keepers and a team with 300 tokens per period
    When the team requests 20 completions of 20 tokens from both keepers
    Then the engines have generated at most 300 tokens, and at least 240
    And the rest was refused with budget_exhausted, not run, and a retry time

  Scenario: Tokens that a request did not use are returned
    Given keepers and a team with 1000 tokens per period
    When a caller abandons a request of 900 tokens after 5 tokens
    Then the team can soon request 500 more tokens

  Scenario: Tokens held by a dead keeper count as spent
    Given keepers and a team with 2000 tokens per period
    When keeper a has spent 20 tokens and dies with a slice
    Then the other keeper can spend no more than the rest
    And the usage counts the lost slice

  Scenario Outline: Slices are granted without the platform, but not without a sure owner
    Given keepers and a team with 100000 tokens per period
    And <state>
    When a caller of that team requests 20 tokens
    Then the caller gets <result>

    Examples:
      | state                      | result            |
      | the platform is down       | 20 tokens         |
      | the owner is not sure      | owner_unavailable |
      | the records were lost      | 20 tokens         |

  Scenario: After the loss of all records the ceiling counts as spent
    Given keepers and a team with 300 tokens per period
    When the team has spent 200 tokens and all records are lost
    Then no more than 100 further tokens are generated

  Scenario Outline: A team's concurrent requests are bounded over all keepers
    Given keepers and a team with <bound> concurrent requests
    When the team requests 20 completions of 20 tokens at once
    Then at most <bound> were in flight at once and at least <served> were served
    And those refused were refused with overloaded

    Examples:
      | bound | served |
      | 1     | 1      |
      | 6     | 3      |

  Scenario: A burst within the bound is not refused
    Given keepers and a team with 200 concurrent requests
    When the team requests 60 completions of 5 tokens at once
    Then all of them are served

  Scenario Outline: A new owner counts the permits that keepers hold
    When a new owner learns of <held> held permits of <bound>, <told>
    Then another keeper that wants 10 gets <granted>

    Examples:
      | held | bound | told                         | granted |
      | 4    | 10    | and all keepers have told    | 6       |
      | 10   | 10    | and all keepers have told    | 0       |
      | 4    | 10    | and some have not            | 0       |

  Scenario Outline: The forecast follows the recent rate
    When <spent> tokens are spent in the first <time> s of a period of 100 s
    Then the forecast is <forecast> tokens

    Examples:
      | spent | time | forecast |
      | 100   | 10   | 1000     |
      | 400   | 20   | 2000     |
      | 800   | 50   | 1600     |

  Scenario Outline: Usage warns of a team near its bound
    Given keepers and a team with 100 tokens per period
    When the team has spent <spent> tokens
    Then its usage soon shows <spent> spent tokens, with warning <warning> and exhausted <exhausted>

    Examples:
      | spent | warning | exhausted |
      | 60    | off     | off       |
      | 80    | on      | off       |
      | 100   | on      | on        |

  Scenario Outline: Usage over HTTP is shown to the team and to operators only
    Given keepers and a team with 1000 tokens per period
    And the team has spent 20 tokens
    When <sender> asks for the usage over HTTP
    Then the answer is <status> with <teams>

    Examples:
      | sender            | status | teams            |
      | the team          | 200    | t                |
      | an operator       | 200    | flood, small, t  |
      | a stranger        | 401    | nobody           |
