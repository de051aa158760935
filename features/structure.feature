Feature: Structure of the gateway
  Modules depend on each other in one direction, so that each can be read and tested by itself.

  Scenario: No modules of the gateway import each other
    Then no module of the gateway depends on itself by its imports
