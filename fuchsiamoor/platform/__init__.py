"""Protocol adapter for the users' platform: translates its messages and settings.

It holds no routing or ownership logic. No name of the platform may appear outside this
package.
"""
