#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" 3
