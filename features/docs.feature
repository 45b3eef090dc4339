Feature: The pages are true

  Scenario: The page of error codes lists every code with its remedy
    Then the docs page of error codes is what the registry says

  Scenario Outline: Settings in the pages are valid
    Then the docs page <page> holds <count> valid settings

    Examples:
      | page           | count |
      | first-start.md | 2     |
      | teams.md       | 1     |

  Scenario: The examples of the API page run against real daemons
    Given running daemons for the docs
    When the docs examples of API.md are run in turn
    Then all docs examples succeed

  Scenario Outline: Commands in the pages exist
    Then the docs page <page> names only commands that exist

    Examples:
      | page                    |
      | first-start.md          |
      | settings.md             |
      | teams.md                |
      | following-a-request.md  |
