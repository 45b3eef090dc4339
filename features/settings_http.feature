Feature: Operators and teams read and change settings over HTTP

  Scenario Outline: Operators and teams are authorized per path and field
    Given a settings server with the teams quetzal and kestrel
    When <sender> sends <call>
    Then the settings server answers <status> <code>

    Examples:
      | sender   | call                                              | status | code          |
      | operator | GET /v1/settings/fleet                            | 200    | -             |
      | operator | GET /v1/settings/teams/quetzal                    | 200    | -             |
      | operator | GET /v1/settings-applied                          | 200    | -             |
      | operator | GET /v1/settings/teams/nobody                     | 404    | not_found     |
      | operator | GET /v1/settings/flet                             | 404    | not_found     |
      | operator | GET /v1/settings/teams/..%2Ffleet                 | 404    | not_found     |
      | quetzal  | GET /v1/settings/teams/quetzal                    | 200    | -             |
      | quetzal  | GET /v1/settings-history/teams/quetzal            | 200    | -             |
      | quetzal  | GET /v1/settings/teams/kestrel                    | 403    | forbidden     |
      | quetzal  | GET /v1/settings-history/teams/kestrel            | 403    | forbidden     |
      | quetzal  | GET /v1/settings/fleet                            | 403    | forbidden     |
      | quetzal  | GET /v1/settings-applied                          | 403    | forbidden     |
      | quetzal  | PUT /v1/settings/teams/kestrel {}                 | 403    | forbidden     |
      | quetzal  | PUT /v1/settings/fleet {}                         | 403    | forbidden     |
      | quetzal  | PUT /v1/settings/teams/quetzal {"retry_ratio": 0.2} | 200  | -             |
      | quetzal  | PUT /v1/settings/teams/quetzal {"weight": 5}      | 403    | forbidden     |
      | quetzal  | PUT /v1/settings/teams/quetzal {"budget": {"tokens_per_period": 5000000000}} | 403 | forbidden |
      | operator | PUT /v1/settings/teams/quetzal {"weight": 5}      | 200    | -             |
      | operator | PUT /v1/settings/teams/quetzal {"weigth": 5}      | 400    | invalid_settings |
      | operator | PUT /v1/settings/teams/quetzal {"token_hashes": ["sha256:12345678…"]} | 400 | invalid_settings |
      | operator | PUT /v1/settings/teams/quetzal?wait_s=-1 {}       | 400    | invalid_request |
      | operator | PUT /v1/settings/teams/quetzal?wait_s=nan {}      | 400    | invalid_request |
      | operator | POST /v1/settings-check/teams/quetzal {"weight": 5} | 200  | -             |
      | operator | POST /v1/settings-check/teams/quetzal {"weight": 0} | 400  | invalid_settings |
      | nobody   | GET /v1/settings/fleet                            | 401    | unauthorized  |
      | stranger | GET /v1/settings/fleet                            | 401    | unauthorized  |

  Scenario Outline: A change specifies the version that it is based on
    Given a settings server with the teams quetzal and kestrel
    When operator sends PUT /v1/settings/teams/<team> {"weight": 2} with <header>
    Then the settings server answers <status> <code>

    Examples:
      | team    | header             | status | code              |
      | quetzal | If-Match: "1"      | 200    | -                 |
      | quetzal | If-Match: "2"      | 409    | settings_conflict |
      | quetzal | If-Match: "0"      | 409    | settings_conflict |
      | quetzal | If-None-Match: *   | 409    | settings_conflict |
      | quetzal | If-Match: 1        | 400    | invalid_request   |
      | quetzal | If-Match: "-1"     | 400    | invalid_request   |
      | quetzal | Accept: text/plain | 400    | invalid_request   |
      | newteam | If-None-Match: *   | 200    | -                 |
      | newteam | If-Match: "1"      | 409    | settings_conflict |

  Scenario: Of concurrent changes one is accepted and the others get both versions
    Given a settings server with the teams quetzal and kestrel
    When 8 operators change team quetzal concurrently on 2 daemons
    Then one settings change is accepted and 7 get a conflict with both versions

  Scenario: An accepted change is confirmed by all members
    Given a settings server with the teams quetzal and kestrel
    When operator sends PUT /v1/settings/teams/quetzal?wait_s=5 {"weight": 3}
    Then the settings server answers 200 -
    And settings are confirmed by v0 v1 v2

  Scenario: Secrets are never returned
    Given a settings server with the teams quetzal and kestrel
    When operator sends GET /v1/settings/fleet
    Then the settings answer contains no secrets
    When operator sends GET /v1/settings-history/teams/quetzal
    Then the settings answer contains no secrets

  Scenario Outline: During an outage settings can be read but not changed
    Given a settings server with the teams quetzal and kestrel
    And the settings platform is down
    When operator sends <call>
    Then the settings server answers <status> <code>

    Examples:
      | call                                           | status | code                 |
      | GET /v1/settings/teams/quetzal                 | 200    | -                    |
      | PUT /v1/settings/teams/quetzal {"weight": 2}   | 503    | platform_unavailable |
      | GET /v1/settings-history/teams/quetzal         | 503    | platform_unavailable |

  Scenario: A change during an outage is refused as not run, with a retry time
    Given a settings server with the teams quetzal and kestrel
    And the settings platform is down
    When operator sends PUT /v1/settings/teams/quetzal {"weight": 2}
    Then the settings answer has the outcome not_run and a retry time
    When the settings platform recovers
    Then settings of team quetzal are still at version 1
