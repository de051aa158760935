Feature: A start that reads its first request early

  Guards against work that a daemon does before it reads its first request though nothing needs it yet: all
  hosts may lose power at once, on half a core each, while callers go on.

  Scenario: Only what the first request needs is imported before it
    When a gateway command is started and sent a request at once
    Then no library but h11 is imported before the request is read
    And none of these packages is imported before the request is read
      | package             |
      | brassdrum.daemon    |
      | brassdrum.contracts |
      | brassdrum.leadership |
      | brassdrum.logservice |
      | brassdrum.routing   |
      | brassdrum.standins  |
      | brassdrum.gateway.metrics_registry |
      | asyncio             |
      | importlib.resources |
      | subprocess          |
      | urllib.request      |

  Scenario: Counts from before the set-up of the metrics are exported
    Given metrics of a daemon that are not set up
    When 3 refusals are counted, and 2 more after the set-up
    Then the metrics page counts 5 refusals

  Scenario: Records beyond a bound begin the set-up, so that they are neither lost nor kept for ever
    Given metrics of a daemon that are not set up
    When 1500 refusals are counted
    Then the metrics are set up without a scrape
    And the metrics page counts 1500 refusals

  Scenario: Records stay bounded where the libraries cannot be imported
    Given metrics of a daemon whose libraries are missing
    When 5000 refusals are counted
    Then 2000 records are kept
    And a scrape is answered once the libraries are there

  Scenario: A scrape that comes while the set-up fails is answered after the next one
    Given metrics of a daemon whose libraries fail to load slowly
    When 1500 refusals are counted
    And a scrape comes before the libraries have failed to load
    Then the scrape receives a page that counts 1500 refusals

  Scenario: The first scrape is answered though the metrics are not set up
    Given a gateway with metrics
    When the metrics page is fetched from 3 connections at once
    Then each of them receives the page

  Scenario: Documents are checked as pydantic checks them
    Then every generated configuration, endpoint entry and settings file is judged as by pydantic

  Scenario: The platform's build compiles what is imported later too
    Given the modules that the platform's build imports
    Then they contain all that a daemon imports to serve its first request and its metrics
