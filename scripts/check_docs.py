#!/usr/bin/env python3
"""Checks the documentation against the tree: every link resolves, and every file, class, function, log event
and metric that a page names in `code` exists.

Usage: scripts/check_docs.py. Exit 0: clean; 1: findings, one per line.
Not checked: the journal, incidents and experiments, which describe former states, and text between the comments
`<!-- former names -->` and `<!-- end of former names -->`.
"""
import os
import re
import subprocess
import sys

HISTORY = ('journal/', 'docs/incidents/', 'docs/experiments/')
FORMER_NAMES = re.compile(r'<!-- former names -->.*?<!-- end of former names -->', re.S)
FENCE = re.compile(r'```.*?```', re.S)
CODE = re.compile(r'`([^`\n]+)`')
LINK = re.compile(r'\[[^\]\n]*\]\(([^)\s]+)\)')
SOURCE_SUFFIXES = ('.cc', '.h', '.proto', '.sh', '.py', '.toml', '.md', '.cmake')
# Names of other programs, libraries and protocols that pages may mention.
EXTERNAL_NAMES = {'CMakeLists', 'GoogleTest', 'OpenSSL', 'TCP_USER_TIMEOUT', 'SIGTERM', 'SIGHUP', 'SIGKILL',
                  'SIGPIPE', 'SIGSTOP', 'SIGCONT', 'EPIPE', 'Date', 'ECONNREFUSED', 'ENOSPC', 'KNOWN-RED'}
# Status codes of absl. Code and pages write them with and without the prefix k.
STATUS_CODES = {'Ok', 'Cancelled', 'InvalidArgument', 'DeadlineExceeded', 'NotFound', 'AlreadyExists',
                'PermissionDenied', 'ResourceExhausted', 'FailedPrecondition', 'Aborted', 'OutOfRange',
                'Unimplemented', 'Internal', 'Unavailable', 'DataLoss', 'Unauthenticated'}


def tracked(*patterns):
    listed = subprocess.check_output(['git', 'ls-files', '--', *patterns], text=True)
    return [name for name in listed.split('\n') if name and os.path.exists(name)]


def read(name):
    with open(name, encoding='utf-8', errors='replace') as file:
        return file.read()


def known_words(files):
    words = set()
    for name in files:
        if not name.startswith(HISTORY) and not name.endswith('.md'):
            words.update(re.findall(r'[A-Za-z_][A-Za-z0-9_]*', read(name)))
    return words


def anchors(text):
    """Returns the anchors of a page's headings, as repository viewers generate them."""
    found = set()
    for heading in re.findall(r'^#+ +(.*)$', text, re.M):
        plain = re.sub(r'[^\w\- ]', '', heading.strip().lower())
        found.add(plain.replace(' ', '-'))
    return found


def check_links(page, text, report):
    for target in LINK.findall(text):
        if re.match(r'[a-z]+:', target):
            continue
        path, _, anchor = target.partition('#')
        file = os.path.normpath(os.path.join(os.path.dirname(page), path)) if path else page
        if not os.path.exists(file):
            report(page, f'link to {target}: no such file')
        elif anchor and file.endswith('.md') and anchor not in anchors(read(file)):
            report(page, f'link to {target}: no such heading')


class Names:
    """The names that a page may use in `code`."""

    def __init__(self, files):
        self.files = set(files)
        self.basenames = {os.path.basename(name) for name in files}
        self.folders = {folder for name in files for folder in parents(name)}
        self.words = known_words(files) | EXTERNAL_NAMES | STATUS_CODES

    def has_path(self, path, page):
        path = path.rstrip('/')
        if os.path.exists(os.path.normpath(os.path.join(os.path.dirname(page), path))):
            return True
        if '*' in path or '{' in path or 'NAME' in path:
            return True
        if path in self.basenames or path in self.folders or path in self.files:
            return True
        return any(name.endswith('/' + path) for name in self.files | self.folders)

    def first_unknown_word(self, code, page):
        """Returns the first word of `code` that isn't a name in the tree; empty if there is none."""
        if re.fullmatch(r'[\w./{}*,-]+', code) and code.endswith(SOURCE_SUFFIXES):
            return '' if code in SOURCE_SUFFIXES or self.has_path(code, page) else code
        # A class, a function, or Class::Function, with or without a namespace and arguments.
        names = re.fullmatch(r'((?:\w+(?:::|\.))*~?\w+(?:/\d+)?)(?:\(.*\)|\.\*|\*|\.\.\.)?', code)
        if names is None:
            return ''
        for word in re.split(r'::|\.', names.group(1).split('/')[0]):
            camel = re.search(r'[a-z][A-Z]|^[A-Z][a-z]+[A-Z]|^[A-Z][a-z]{3,}$', word)
            metric = word.startswith('posthatch_')
            if not camel and not metric:
                continue
            if word in self.words or any(word.lstrip('~') == known for known in (word[1:],)):
                continue
            if code.endswith(('*', '...')) and any(known.startswith(word) for known in self.words):
                continue
            if metric and self.is_composed(word):
                continue
            return word
        return ''

    def is_composed(self, metric):
        """Whether `metric` is a membership metric, whose name the code composes of a prefix and a word."""
        return metric.startswith('posthatch_membership_') and metric[len('posthatch_membership_'):] in self.words


def parents(name):
    parts = name.split('/')
    return ['/'.join(parts[:i]) for i in range(1, len(parts))]


def main():
    files = tracked()
    names = Names(files)
    findings = []
    for page in tracked('*.md'):
        if page.startswith(HISTORY):
            continue
        text = FENCE.sub('', FORMER_NAMES.sub('', read(page)))
        check_links(page, text, lambda p, finding: findings.append(f'{p}: {finding}'))
        for code in CODE.findall(text):
            word = names.first_unknown_word(code.strip(), page)
            if word:
                findings.append(f'{page}: `{code}`: the tree has no name {word}')
    for finding in findings:
        print(finding)
    if findings:
        sys.exit(1)
    print(f'pages: links and names of {len(tracked("*.md"))} pages are valid')


main()
