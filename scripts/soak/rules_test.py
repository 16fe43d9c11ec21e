#!/usr/bin/python3
"""Feeds each rule of rules.py a history that breaks it, and one beside it that is allowed."""
import unittest

import rules
import settings_template
from history import Call, Change, Dispatch, Drain, History, MachineEvent, Probe

BOUNDS = rules.Bounds()


def history():
    made = History()
    made.ended_at = 60
    return made


def judged(made, rule, controllers=5):
    return next(v for v in rules.judge(made, BOUNDS, controllers) if v.rule == rule)


def began(made, at, revision, arrived=None, request_id='r', gateway='edge-0'):
    made.calls.append(Call(request_id, gateway, 'stream', arrived or at, True))
    made.dispatches.append(Dispatch(request_id, 'w', 'llm', arrived or at, at, revision, 'm0'))


def named(made, number, at):
    made.changes.append(Change('revision', 'm0', number, at, at, 'core-0'))


class VersionTest(unittest.TestCase):
    def test_first_token_after_the_bound_breaks_it(self):
        made = history()
        named(made, 2, 10)
        began(made, 22.1, 1)
        self.assertEqual(len(judged(made, 'VERSION').violations), 1)

    def test_first_token_within_the_bound_is_allowed(self):
        made = history()
        named(made, 2, 10)
        began(made, 21.9, 1)
        verdict = judged(made, 'VERSION')
        self.assertEqual((verdict.cases, verdict.violations), (1, []))

    def test_a_later_revision_does_not_set_the_bound_back(self):
        made = history()
        named(made, 2, 10)
        named(made, 3, 20)
        began(made, 23, 1)
        self.assertEqual(len(judged(made, 'VERSION').violations), 1)

    def test_time_of_an_unstable_core_does_not_count(self):
        made = history()
        named(made, 2, 10)
        made.events.append(MachineEvent('core-1', True, 15, 'kill'))
        made.events.append(MachineEvent('core-1', True, 15.3, 'start'))
        began(made, 24, 1)
        self.assertEqual(judged(made, 'VERSION').violations, [])

    def test_all_stable_stretches_together_count(self):
        made = history()
        named(made, 2, 10)
        made.events.append(MachineEvent('core-1', True, 20, 'hup'))
        began(made, 32, 1)  # 10 s and 9 s
        self.assertEqual(len(judged(made, 'VERSION').violations), 1)

    def test_a_controller_that_ends_by_itself_is_no_excuse(self):
        made = history()
        named(made, 2, 10)
        made.events.append(MachineEvent('core-1', True, 15, 'ended_by_itself'))
        began(made, 24, 1)
        self.assertEqual(len(judged(made, 'VERSION').violations), 1)

    def test_a_gateway_that_was_just_started_is_not_in_touch(self):
        made = history()
        named(made, 2, 10)
        made.events.append(MachineEvent('edge-0', False, 22, 'start'))
        began(made, 24, 1)
        self.assertEqual(judged(made, 'VERSION').violations, [])

    def test_workers_left_behind_at_the_end(self):
        made = history()
        named(made, 2, 10)
        made.final_revisions = {'w1': ('m0', 1, 0), 'w2': ('m0', 1, 0), 'w3': ('m0', 2, 0)}
        self.assertEqual(len(judged(made, 'VERSION at end').violations), 1)
        made.final_revisions['w1'] = ('m0', 2, 0)
        self.assertEqual(judged(made, 'VERSION at end').violations, [])


class OtherRulesTest(unittest.TestCase):
    def test_configuration_late_and_in_time(self):
        made = history()
        made.changes.append(Change('configuration', 'routes', 2, 9, 10, 'core-0'))
        made.probes.append(Probe('edge-0', 2, 11.9, 404))
        made.probes.append(Probe('edge-0', 2, 12.1, 404))
        self.assertEqual(len(judged(made, 'CONFIG').violations), 1)

    def test_configuration_lost(self):
        made = history()
        made.changes.append(Change('configuration', 'routes', 2, 9, 10, 'core-0'))
        made.final_configuration = 1
        self.assertEqual(len(judged(made, 'CONFIG kept').violations), 1)
        made.final_configuration = 2
        self.assertEqual(judged(made, 'CONFIG kept').violations, [])

    def test_run_twice(self):
        made = history()
        made.calls.append(Call('r', 'edge-0', 'once', 5, True))
        for _ in range(2):
            made.dispatches.append(Dispatch('r', 'a', 'app', 5, 5))
        self.assertEqual(len(judged(made, 'TWICE').violations), 1)

    def test_refused_but_ran(self):
        made = history()
        made.calls.append(Call('r', 'edge-0', 'once', 5, True, 5.1, 503))
        made.dispatches.append(Dispatch('r', 'a', 'app', 5, 5))
        self.assertEqual(len(judged(made, 'REFUSED').violations), 1)

    def test_sent_to_a_draining_worker(self):
        made = history()
        made.drains.append(Drain('w', 10))
        began(made, 12.9, 1, request_id='in time')
        began(made, 13.1, 1, request_id='late')
        self.assertEqual(len(judged(made, 'DRAIN').violations), 1)

    def test_closed_without_an_answer_around_sigterm(self):
        made = history()
        made.events.append(MachineEvent('edge-0', False, 10, 'term'))
        made.calls.append(Call('r', 'edge-0', 'stream', 10.5, True, 11.5, None))
        self.assertEqual(len(judged(made, 'LOST').violations), 1)
        made.events.append(MachineEvent('edge-0', False, 11, 'kill'))
        self.assertEqual(judged(made, 'LOST').violations, [])

    def test_process_that_ends_by_itself(self):
        made = history()
        made.events.append(MachineEvent('edge-0', False, 10, 'ended_by_itself'))
        self.assertEqual(len(judged(made, 'ENDED BY ITSELF').violations), 1)


class StableStretchesTest(unittest.TestCase):
    def test_half_of_the_core_down_is_unstable(self):
        made = history()
        for node, at in (('core-0', 10), ('core-1', 11)):
            made.events.append(MachineEvent(node, True, at, 'kill'))
        spans = rules.core_unstable(made, BOUNDS, 4)
        self.assertEqual(spans, [(10, 60)])
        self.assertEqual(rules.core_unstable(made, BOUNDS, 5), [(10, 14)])


class SettingsTemplateTest(unittest.TestCase):
    def test_gaps_sections_and_lists(self):
        fields = {'a': {'b': [1, 2]}, 'yes': True, 'no': False, 'list': ['x', 'y']}
        text = '{{a.b.1}} {{#yes}}on{{/yes}}{{^no}}off{{/no}} [{{#list}}"{{.}}"{{,}}{{/list}}]{{#gone}}x{{/gone}}'
        self.assertEqual(settings_template.fill(text, fields), '2 onoff ["x","y"]')


if __name__ == '__main__':
    unittest.main()
