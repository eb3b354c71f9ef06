//! snapshot of the members that the other modules read.

mod member_view;

pub use member_view::Member;
pub use member_view::MemberView;
