Feature: Load and faults on the platform's daemons, audited from outside

  Scenario Outline: A short soak violates no guarantee
    When the platform is soaked for <seconds> s with seed <seed>
    Then no guarantee is violated and every part of the load ran

    Examples:
      | seed | seconds |
      | 11   | 10      |

  Scenario Outline: The audit finds a planted breach
    When the audit sees <breach>
    Then it reports a breach with "<words>"

    Examples:
      | breach                                  | words                 |
      | a result that changes                   | another result        |
      | an item listed twice                    | listed twice          |
      | an item of another job                  | of another job        |
      | an output that is cut short             | whole output          |
      | an older version than allowed           | made by versions      |
      | an item lost before the end             | lost before           |
      | a wrong total                           | total                 |
      | a booking that ran twice                | ran 2 times           |
      | a refused booking that ran              | was answered 503      |
      | an answered booking that did not run    | did not run           |
      | another's answer to a booking           | another's answer      |
      | orders of two holders too close         | too soon              |
      | orders of two holders with one fence    | after                 |

  Scenario: The audit accepts correct behaviour
    When the audit sees correct results, bookings and orders
    Then it reports no breach
