#!/bin/sh
cd "$(dirname "$0")" && exec ../bin/size .
